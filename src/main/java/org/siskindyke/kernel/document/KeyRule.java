package org.siskindyke.kernel.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * How the key of a call is found and whether keys are divided among targets.
 *
 * @param divided whether each key has one owner; otherwise any target may run any call
 * @param source which part of a call holds the key; null for an undivided service
 * @param name the header or query parameter that holds the key; unused for {@code PATH_SEGMENT}
 * @param segment zero-based position of the path segment that holds the key; used for {@code PATH_SEGMENT}
 * @param slices how many slices the keys are divided into; fixed once the service exists
 */
public record KeyRule(
        @JsonProperty(required = true) boolean divided, KeySource source, String name, int segment, int slices) {
    /** Slices of a divided service that does not say how many. */
    public static final int DEFAULT_SLICES = 64;

    /** Most slices a service may have. */
    public static final int MAX_SLICES = 16_384;

    /** Fills in defaults. */
    public KeyRule {
        slices = divided && slices == 0 ? DEFAULT_SLICES : slices;
    }

    /** The parts of a call that may hold its key. */
    public enum KeySource {
        /** A request header. */
        HEADER,
        /** A query parameter. */
        QUERY,
        /** A segment of the path. */
        PATH_SEGMENT
    }
}
