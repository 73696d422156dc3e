package org.siskindyke.kernel.crash;

import org.siskindyke.kernel.id.TargetName;

/**
 * One run of a backend server, from its start to its end.
 *
 * @param target the name of the backend server
 * @param startMillis when it started, in milliseconds since the epoch; only compared for equality
 */
public record TargetIncarnation(TargetName target, long startMillis) {
    @Override
    public String toString() {
        return target + "@" + startMillis;
    }
}
