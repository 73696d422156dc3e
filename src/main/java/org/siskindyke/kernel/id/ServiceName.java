package org.siskindyke.kernel.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a service, which is configured by one {@link org.siskindyke.kernel.document.ServiceDocument}.
 *
 * @param value the text, non-empty, at most {@value Names#MAX_LENGTH} characters of {@code [A-Za-z0-9._:-]}
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {
    /** Validates the text. */
    public ServiceName {
        Names.check("service name", value);
    }

    /**
     * Parses the text form.
     *
     * @param text the text
     * @return the id
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code INVALID_NAME} for a malformed text
     */
    @JsonCreator
    public static ServiceName of(String text) {
        return new ServiceName(text);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
