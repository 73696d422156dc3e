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
    private static final double BASE_CALLS_PER_SECOND_PER_SLICE = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MIN_MILLIS_PER_CALL = 0.1;

    /** Returns the share of its slots that one call each second takes up. */
    public double utilisationPerCall() {
        return Math.max(millisPerCall, MIN_MILLIS_PER_CALL) / MILLIS_PER_SECOND / Math.max(1, slots);
    }

    /** Returns the share of its slots that is in use; may exceed 1 where calls queue. */
    public double weightedUtilisation() {
        return (callsPerSecond + BASE_CALLS_PER_SECOND_PER_SLICE * sliceCount) * utilisationPerCall();
    }

    /** Returns the share of the slots that calls used. */
    public double utilisation() {
        return callsPerSecond * utilisationPerCall();
    }

    /** Returns the calls each second that a slice stands for. */
    static double weight(double sliceCallsPerSecond) {
        return sliceCallsPerSecond + BASE_CALLS_PER_SECOND_PER_SLICE;
    }
}
