package org.siskindyke.standin;

import org.siskindyke.kernel.time.MonotonicClock;

/** Counts events in total and keeps the highest count of a second of the clock. Safe for use by several threads. */
final class RateMeter {
    private static final long SECOND_MILLIS = 1_000;

    private final MonotonicClock clock;
    private long total;
    private long currentSecond;
    private long countInSecond;
    private long maxPerSecond;

    RateMeter(MonotonicClock clock) {
        this.clock = clock;
    }

    synchronized void add(long events) {
        long nowSecond = clock.nowMillis() / SECOND_MILLIS;
        if (nowSecond != currentSecond) {
            currentSecond = nowSecond;
            countInSecond = 0;
        }
        total += events;
        countInSecond += events;
        maxPerSecond = Math.max(maxPerSecond, countInSecond);
    }

    synchronized void reset() {
        total = 0;
        countInSecond = 0;
        maxPerSecond = 0;
    }

    synchronized long total() {
        return total;
    }

    synchronized long maxPerSecond() {
        return maxPerSecond;
    }
}
