package org.siskindyke.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names the team that owns a {@link org.siskindyke.kernel.document.ServiceDocument}.
 *
 * @param value the text, non-empty, at most {@value Names#MAX_LENGTH} characters of {@code [A-Za-z0-9._:-]}
 */
public record TeamName(@JsonValue String value) implements Comparable<TeamName> {
    /** Validates the text. */
    public TeamName {
        Names.check("team name", value);
    }

    /**
     * Parses the text form.
     *
     * @param text the text
     * @return the id
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code INVALID_NAME} for a malformed text
     */
    @JsonCreator
    public static TeamName of(String text) {
        return new TeamName(text);
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
