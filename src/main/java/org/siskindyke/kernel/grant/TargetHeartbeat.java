package org.siskindyke.kernel.grant;

import java.util.List;

import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;

/**
 * A heartbeat of a backend server.
 *
 * @param service the service it serves
 * @param target its name
 * @param slots number of requests that it processes concurrently
 * @param leaving whether it is about to stop and accepts no new work
 * @param remainingWarmUpMillis how much longer it is slow because it has just started
 * @param startMillis its start time as Unix time in milliseconds; distinguishes incarnations of one name
 * @param sequence grows with each heartbeat of one incarnation
 * @param activeRanges ranges that it is granted or still processes calls of
 * @param releasedRanges ranges that it has released since its last acknowledged heartbeat
 */
public record TargetHeartbeat(
        ServiceName service,
        TargetName target,
        int slots,
        boolean leaving,
        long remainingWarmUpMillis,
        long startMillis,
        long sequence,
        List<ActiveRange> activeRanges,
        List<ReleasedRange> releasedRanges) {
    /** Copies the lists. */
    public TargetHeartbeat {
        activeRanges = List.copyOf(activeRanges);
        releasedRanges = List.copyOf(releasedRanges);
    }

    /**
     * A range of keys that a backend server is granted or still processes calls of.
     *
     * @param first the first key
     * @param last the last key, included
     * @param token the fencing token of the grant
     */
    public record ActiveRange(int first, int last, long token) {}

    /**
     * A range of keys that a backend server has released.
     *
     * @param first the first key
     * @param last the last key, included
     * @param handover data with which the next owner's backend server starts warm
     */
    public record ReleasedRange(int first, int last, String handover) {}
}
