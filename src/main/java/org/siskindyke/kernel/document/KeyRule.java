package org.siskindyke.kernel.document;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Where a call contains its key, and whether keys are divided among targets.
 *
 * @param divided whether each key has one owner; otherwise any target may run any call
 * @param source the part of a call that contains the key; null for an undivided service
 * @param name the header or query parameter that contains the key; unused for {@code PATH_SEGMENT}
 * @param segment zero-based index of the path segment that contains the key; only used for {@code PATH_SEGMENT}
 * @param slices number of slices that the keys are divided into; must not change once the service exists
 */
public record KeyRule(
        @JsonProperty(required = true) boolean divided, KeySource source, String name, int segment, int slices) {
    /** Number of slices of a divided service whose document does not specify it. */
    public static final int DEFAULT_SLICES = 64;

    /** Maximum number of slices of a service. */
    public static final int MAX_SLICES = 16_384;

    /** Fills in defaults. */
    public KeyRule {
        slices = divided && slices == 0 ? DEFAULT_SLICES : slices;
    }

    /** The parts of a call that may contain its key. */
    public enum KeySource {
        /** A request header. */
        HEADER,
        /** A query parameter. */
        QUERY,
        /** A segment of the path. */
        PATH_SEGMENT
    }
}
