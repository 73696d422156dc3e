package org.siskindyke.kernel.membership;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

/**
 * Durations of the lease protocol. All members of a cluster use the same.
 *
 * @param leaseMillis how long a renewal lets a member serve, counted from when it was sent
 * @param marginMillis how long a grantor waits beyond the lease, to cover clock drift
 * @param heartbeatMillis interval between renewals
 * @param replaceAfterMillis silence of a grantor after which its grantee looks for another grantor
 */
public record LeaseSettings(long leaseMillis, long marginMillis, long heartbeatMillis, long replaceAfterMillis) {
    /** Defaults with which the keys of a member that is lost together with its grantor recover within four seconds. */
    public static final LeaseSettings DEFAULT = new LeaseSettings(1200, 200, 250, 550);

    /** Validates the order of the durations. */
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

    /** Returns the silence of a grantee after which its lease has certainly ended, in milliseconds. */
    public long expiryTimeoutMillis() {
        return leaseMillis + marginMillis;
    }
}
