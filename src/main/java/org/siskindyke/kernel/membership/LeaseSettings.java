package org.siskindyke.kernel.membership;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

/**
 * Durations of the lease protocol. All members of a cluster use the same.
 *
 * @param leaseMillis how long a renewal lets a member serve, from the moment it was sent
 * @param marginMillis what a grantor waits beyond the lease, to cover clock drift
 * @param heartbeatMillis interval between renewals
 * @param replaceAfterMillis silence of a grantor after which its member looks for another
 */
public record LeaseSettings(long leaseMillis, long marginMillis, long heartbeatMillis, long replaceAfterMillis) {
    /** Defaults that recover the keys of a member and its grantor lost together within four seconds. */
    public static final LeaseSettings DEFAULT = new LeaseSettings(1200, 200, 250, 550);

    /** Validates the relations between the durations. */
    public LeaseSettings {
        boolean ordered = heartbeatMillis > 0
                && heartbeatMillis < replaceAfterMillis
                && replaceAfterMillis < leaseMillis
                && marginMillis > 0;
        if (!ordered) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_SETTING,
                    "lease durations must satisfy 0 < heartbeat < replace-after < lease and margin > 0, in "
                            + "milliseconds");
        }
    }

    /** Returns the silence after which a lease that was granted has surely ended, in milliseconds. */
    public long expiryTimeoutMillis() {
        return leaseMillis + marginMillis;
    }
}
