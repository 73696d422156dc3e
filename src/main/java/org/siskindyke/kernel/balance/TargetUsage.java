package org.siskindyke.kernel.balance;

/**
 * How busy a target of a divided service is.
 *
 * @param callsPerSecond calls it runs each second
 * @param millisPerCall mean duration of a call
 * @param slots calls it may run at a time
 * @param sliceCount slices that it owns
 */
public record TargetUsage(double callsPerSecond, double millisPerCall, int slots, int sliceCount) {
    /** Calls each second that an idle slice is taken for, so that idle slices are levelled by number. */
    private static final double IDLE_SLICE_CALLS_PER_SECOND = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double LEAST_MILLIS_PER_CALL = 0.1;

    /** Returns the share of its slots that one call each second takes up. */
    public double costPerCall() {
        return Math.max(millisPerCall, LEAST_MILLIS_PER_CALL) / MILLIS_PER_SECOND / Math.max(1, slots);
    }

    /** Returns the share of its slots that is in use; may exceed 1 where calls queue. */
    public double weightedUtilisation() {
        return (callsPerSecond + IDLE_SLICE_CALLS_PER_SECOND * sliceCount) * costPerCall();
    }

    /** Returns the share of the slots that calls used. */
    public double busyShare() {
        return callsPerSecond * costPerCall();
    }

    /** Returns the calls each second that a slice stands for. */
    static double weight(double sliceCallsPerSecond) {
        return sliceCallsPerSecond + IDLE_SLICE_CALLS_PER_SECOND;
    }
}
