package org.siskindyke.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a failure domain: a set of instances that may be lost together.
 *
 * @param value the text, non-empty, at most {@value Names#MAX_LENGTH} characters of {@code [A-Za-z0-9._:-]}
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {
    /** Validates the text. */
    public FailureDomain {
        Names.check("failure domain", value);
    }

    /**
     * Parses the text form.
     *
     * @param text the text
     * @return the id
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code INVALID_NAME} for a malformed text
     */
    @JsonCreator
    public static FailureDomain of(String text) {
        return new FailureDomain(text);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
