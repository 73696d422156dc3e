package org.siskindyke.runtime;

/** Limits the number of events per second and counts those it suppresses. Confined to one thread. */
public final class EventRateLimiter {
    private static final long SECOND_MILLIS = 1_000;

    private final int maxPerSecond;
    private long secondStartMillis;
    private int eventsThisSecond;
    private long suppressedCount;

    /** Creates a limiter that lets at most the given number of events through per second. */
    public EventRateLimiter(int maxPerSecond) {
        this.maxPerSecond = maxPerSecond;
    }

    /** Returns whether one more event may be written; if not, counts it as suppressed. */
    public boolean tryAcquire(long nowMillis) {
        if (nowMillis - secondStartMillis >= SECOND_MILLIS) {
            secondStartMillis = nowMillis;
            eventsThisSecond = 0;
        }
        eventsThisSecond++;
        suppressedCount += eventsThisSecond > maxPerSecond ? 1 : 0;
        return eventsThisSecond <= maxPerSecond;
    }

    /** Returns the number of events suppressed since the last call of this method. */
    public long takeSuppressedCount() {
        long count = suppressedCount;
        suppressedCount = 0;
        return count;
    }
}
