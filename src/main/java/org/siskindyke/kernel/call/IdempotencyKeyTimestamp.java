package org.siskindyke.kernel.call;

import java.util.OptionalLong;
import java.util.UUID;

/**
 * Reads when a call was first sent from its Idempotency-Key, so that a new owner of a slice knows whether the previous
 * owner may have run the call.
 */
public final class IdempotencyKeyTimestamp {
    private static final int UUID_LENGTH = 36;
    private static final int TIMESTAMP_VERSION = 7;
    private static final int TIMESTAMP_SHIFT_BITS = 16;

    private IdempotencyKeyTimestamp() {}

    /**
     * Returns the timestamp of an Idempotency-Key that is a version 7 UUID (RFC 9562).
     *
     * @param idempotencyKey the key
     * @return milliseconds since the epoch by the caller's clock; empty for keys of another format
     */
    public static OptionalLong epochMillis(String idempotencyKey) {
        if (idempotencyKey.length() != UUID_LENGTH) {
            return OptionalLong.empty();
        }
        try {
            UUID uuid = UUID.fromString(idempotencyKey);
            return uuid.version() == TIMESTAMP_VERSION
                    ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS)
                    : OptionalLong.empty();
        } catch (IllegalArgumentException e) {
            return OptionalLong.empty();
        }
    }
}
