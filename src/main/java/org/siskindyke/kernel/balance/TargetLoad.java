package org.siskindyke.kernel.balance;

/**
 * Load of a target as measured by this router's own calls, with a peak-sensitive moving average of the latency: a call
 * slower than the average replaces it at once, while faster calls lower it gradually. Thread-safe.
 *
 * <p>Read by {@link TargetPolicy}; {@link LocalityAwareSelector} reads {@link ReportedTargetLoad}.
 */
public final class TargetLoad {
    /** Time constant with which the average falls. */
    private static final double DECAY_MILLIS = 2_000;

    private static final double INITIAL_LATENCY_MILLIS = 1;

    private int inFlight;
    private double latencyMillis = INITIAL_LATENCY_MILLIS;
    private long updatedMillis;
    private long avoidUntilMillis = Long.MIN_VALUE;

    /** Records that a call was sent. */
    public synchronized void onSent() {
        inFlight++;
    }

    /**
     * Records that a call has ended.
     *
     * @param tookMillis duration of the call
     * @param nowMillis current time on the monotonic clock
     */
    public synchronized void onEnded(double tookMillis, long nowMillis) {
        inFlight--;
        double age = Math.max(0, nowMillis - updatedMillis);
        double keep = tookMillis > latencyMillis ? 0 : Math.exp(-age / DECAY_MILLIS);
        // The minimum weight lets calls count that end at almost the same time.
        double weight = Math.max(1 - keep, 0.05);
        latencyMillis += weight * (tookMillis - latencyMillis);
        updatedMillis = nowMillis;
    }

    /** Marks the target as avoided until a time, after it refused a call or was unreachable. */
    public synchronized void avoidUntil(long untilMillis) {
        avoidUntilMillis = Math.max(avoidUntilMillis, untilMillis);
    }

    /** Returns whether calls should go to other targets. */
    public synchronized boolean isAvoided(long nowMillis) {
        return nowMillis < avoidUntilMillis;
    }

    /** Returns the expected cost of one more call: latency times calls in flight, this one included. */
    public synchronized double cost() {
        return latencyMillis * (inFlight + 1);
    }

    public synchronized int inFlight() {
        return inFlight;
    }
}
