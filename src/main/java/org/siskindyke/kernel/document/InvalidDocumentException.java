package org.siskindyke.kernel.document;

import java.util.List;
import java.util.stream.Collectors;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

/** Thrown for an invalid document; lists the problems found. */
public final class InvalidDocumentException extends SiskindykeException {
    private static final long serialVersionUID = 1L;

    private final transient List<DocumentProblem> problems;

    /** Creates an exception for at least one problem. */
    public InvalidDocumentException(List<DocumentProblem> problems) {
        super(
                ErrorCode.INVALID_DOCUMENT,
                problems.stream().map(DocumentProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems, ordered by line. */
    public List<DocumentProblem> problems() {
        return problems;
    }
}
