package org.siskindyke.kernel.balance;

/**
 * What a router has seen of a target by its own calls. Safe for use by several threads.
 */
public final class TargetLoad {
    private static final double DECAY_MILLIS = 2_000;
    private static final double INITIAL_LATENCY_MILLIS = 1;

    private int inFlight;
    private double latencyMillis = INITIAL_LATENCY_MILLIS;
    private long updatedMillis;
    private long avoidUntilMillis = Long.MIN_VALUE;

    /** Counts a call that is sent. */
    public synchronized void onSent() {
        inFlight++;
    }

    /**
     * Counts a call that has ended.
     *
     * @param tookMillis how long it took
     * @param nowMillis the present
     */
    public synchronized void onEnded(double tookMillis, long nowMillis) {
        inFlight--;
        double age = Math.max(0, nowMillis - updatedMillis);
        double keep = tookMillis > latencyMillis ? 0 : Math.exp(-age / DECAY_MILLIS);
        double weight = Math.max(1 - keep, 0.05);
        latencyMillis += weight * (tookMillis - latencyMillis);
        updatedMillis = nowMillis;
    }

    /** Keeps calls away from the target for a while, after it refused or could not be reached. */
    public synchronized void avoidUntil(long untilMillis) {
        avoidUntilMillis = Math.max(avoidUntilMillis, untilMillis);
    }

    /** Tells whether calls are kept away. */
    public synchronized boolean isAvoided(long nowMillis) {
        return nowMillis < avoidUntilMillis;
    }

    /** Returns the expected cost of one more call: latency times calls in flight, this one included. */
    public synchronized double cost() {
        return latencyMillis * (inFlight + 1);
    }

    /** Returns the calls in flight. */
    public synchronized int inFlight() {
        return inFlight;
    }
}
