package org.siskindyke.kernel.grant;

import java.util.List;

import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;

/**
 * What a backend server says of itself.
 *
 * @param service the service it serves
 * @param target its name
 * @param slots requests that it runs at a time
 * @param leaving whether it is about to end and takes no new work
 * @param remainingWarmUpMillis how much longer it is slow after its start
 * @param startMillis its start in milliseconds since the epoch; tells apart two lives of one name
 * @param sequence grows with each heartbeat of one life
 * @param activeRanges ranges that it holds or still works on
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
     * A range that a backend server holds.
     *
     * @param first the first key
     * @param last the last key
     * @param token the fencing token it was granted with
     */
    public record ActiveRange(int first, int last, long token) {}

    /**
     * A range that a backend server has released.
     *
     * @param first the first key
     * @param last the last key
     * @param handover lets the next holder start warm
     */
    public record ReleasedRange(int first, int last, String handover) {}
}
