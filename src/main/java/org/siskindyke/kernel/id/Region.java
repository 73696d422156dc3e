package org.siskindyke.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a region: a set of failure domains with short delays between them.
 *
 * @param value the text, non-empty, at most {@value Names#MAX_LENGTH} characters of {@code [A-Za-z0-9._:-]}
 */
public record Region(@JsonValue String value) implements Comparable<Region> {
    /** Validates the text. */
    public Region {
        Names.check("region", value);
    }

    /**
     * Parses the text form.
     *
     * @param text the text
     * @return the id
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code INVALID_NAME} for a malformed text
     */
    @JsonCreator
    public static Region of(String text) {
        return new Region(text);
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
