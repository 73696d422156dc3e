package org.siskindyke.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies who sends calls, as far as a router can tell: on the users' platform the service from whose instance a
 * request comes, elsewhere the address of the caller.
 *
 * @param value the text, non-empty, at most {@value Names#MAX_LENGTH} characters of {@code [A-Za-z0-9._:-]}
 */
public record ClientAccount(@JsonValue String value) implements Comparable<ClientAccount> {
    /** Stands for all callers that cannot be told apart. */
    public static final ClientAccount UNKNOWN = new ClientAccount("-");

    /** Validates the text. */
    public ClientAccount {
        Names.check("client account", value);
    }

    /**
     * Parses the text form.
     *
     * @param text the text
     * @return the id
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code INVALID_NAME} for a malformed text
     */
    @JsonCreator
    public static ClientAccount of(String text) {
        return new ClientAccount(text);
    }

    @Override
    public int compareTo(ClientAccount other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
