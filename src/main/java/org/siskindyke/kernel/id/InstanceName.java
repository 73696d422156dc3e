package org.siskindyke.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names an instance: the place where a router and its backend server run.
 *
 * @param value the text, non-empty, at most {@value Names#MAX_LENGTH} characters of {@code [A-Za-z0-9._:-]}
 */
public record InstanceName(@JsonValue String value) implements Comparable<InstanceName> {
    /** Validates the text. */
    public InstanceName {
        Names.check("instance name", value);
    }

    /**
     * Parses the text form.
     *
     * @param text the text
     * @return the id
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code INVALID_NAME} for a malformed text
     */
    @JsonCreator
    public static InstanceName of(String text) {
        return new InstanceName(text);
    }

    @Override
    public int compareTo(InstanceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
