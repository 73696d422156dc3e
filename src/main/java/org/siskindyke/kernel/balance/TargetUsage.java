package org.siskindyke.kernel.balance;

/**
 * Load of a target of a divided service.
 *
 * @param callsPerSecond calls that the target runs per second
 * @param millisPerCall mean duration of a call
 * @param slots calls that the target may run concurrently
 * @param sliceCount slices that the target's router owns
 */
public record TargetUsage(double callsPerSecond, double millisPerCall, int slots, int sliceCount) {
    /** Calls per second that are added for each slice, so that idle slices are balanced by their number. */
    private static final double BASE_CALLS_PER_SECOND_PER_SLICE = 0.25;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MIN_MILLIS_PER_CALL = 0.1;

    /** Returns the share of the slots that one call per second occupies. */
    public double utilisationPerCall() {
        return Math.max(millisPerCall, MIN_MILLIS_PER_CALL) / MILLIS_PER_SECOND / Math.max(1, slots);
    }

    /** Returns the utilisation with the base load of each slice included; may exceed 1 when calls queue. */
    public double weightedUtilisation() {
        return (callsPerSecond + BASE_CALLS_PER_SECOND_PER_SLICE * sliceCount) * utilisationPerCall();
    }

    /** Returns the share of the slots that calls occupy; may exceed 1 when calls queue. */
    public double utilisation() {
        return callsPerSecond * utilisationPerCall();
    }

    /** Returns the calls per second of a slice with its base load included. */
    static double weight(double sliceCallsPerSecond) {
        return sliceCallsPerSecond + BASE_CALLS_PER_SECOND_PER_SLICE;
    }
}
