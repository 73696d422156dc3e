package org.siskindyke.kernel.document;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DocumentReaderTest {
    private static final String VALID = String.join(
            "\n",
            "service: haat",
            "team: catalogue",
            "match: {pathPrefix: /haat}",
            "keys: {divided: true, source: PATH_SEGMENT, segment: 1, slices: 8}",
            "targets:",
            "  - {name: haat-1, failureDomain: kalna, slots: 12, connections: 120}",
            "  - {name: haat-2, failureDomain: katwa, slots: 12, connections: 120}",
            "calls:",
            "  timeoutMillis: 1000",
            "");

    private static DocumentProblem onlyProblemOf(String text) {
        List<DocumentProblem> problems = assertThrows(InvalidDocumentException.class, () -> DocumentReader.read(text))
                .problems();
        assertEquals(1, problems.size(), problems.toString());
        return problems.get(0);
    }

    @Example
    void theExamplesAreValid() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("examples"))) {
            List<ServiceDocument> documents =
                    files.map(DocumentReaderTest::read).toList();
            assertEquals(6, documents.size());
        }
    }

    private static ServiceDocument read(Path file) {
        try {
            return DocumentReader.read(Files.readString(file));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Example
    void aDocumentSurvivesWritingAndReading() {
        ServiceDocument document = DocumentReader.read(VALID);
        assertEquals(document, DocumentReader.read(DocumentReader.write(document)));
    }

    @Example
    void anUnknownFieldIsNamedWithItsLineAndTheKnownOnes() {
        DocumentProblem problem = onlyProblemOf(VALID.replace("timeoutMillis", "timeout"));
        assertEquals("calls.timeout", problem.path());
        assertEquals(9, problem.line());
        assertTrue(problem.fix().contains("timeoutMillis"), problem.fix());
    }

    @Example
    void aValueWithAUnitIsRejected() {
        DocumentProblem problem = onlyProblemOf(VALID.replace("1000", "1s"));
        assertEquals("calls.timeoutMillis", problem.path());
        assertTrue(problem.fix().contains("without a unit"), problem.fix());
    }

    @Example
    void fewerConnectionsThanSlotsAreRejected() {
        DocumentProblem problem = onlyProblemOf(VALID.replaceFirst("connections: 120", "connections: 11"));
        assertEquals("targets[0].connections", problem.path());
        assertEquals(6, problem.line());
    }

    @Example
    void twoTargetsMayNotShareAName() {
        assertEquals(
                "targets[1].name",
                onlyProblemOf(VALID.replace("haat-2", "haat-1")).path());
    }

    @Example
    void aMissingSectionIsReported() {
        assertTrue(
                onlyProblemOf(VALID.replace("team: catalogue\n", "")).message().contains("team"));
    }

    @Example
    void aDuplicateFieldIsRejected() {
        assertTrue(onlyProblemOf(VALID + "team: other\n").message().contains("team"));
    }

    @Example
    void aDocumentLongerThanTheLimitIsRejected() {
        assertEquals(
                "document",
                onlyProblemOf("#".repeat(DocumentReader.MAX_CHARACTERS + 1)).path());
    }

    @Property(tries = 500, seed = "21")
    void anyTextYieldsADocumentOrACodedError(@ForAll @StringLength(max = 200) String text) {
        readOrRefuse(text);
    }

    @Property(tries = 1000, seed = "22")
    void anyCorruptionOfADocumentYieldsADocumentOrACodedError(
            @ForAll @IntRange(max = 300) int position, @ForAll char replacement, @ForAll boolean delete) {
        int at = position % VALID.length();
        String middle = delete ? "" : String.valueOf(replacement);
        readOrRefuse(VALID.substring(0, at) + middle + VALID.substring(at + 1));
    }

    private static void readOrRefuse(String text) {
        try {
            assertTrue(DocumentReader.read(text).calls().timeoutMillis() > 0);
        } catch (InvalidDocumentException e) {
            assertTrue(!e.problems().isEmpty());
        }
    }
}
