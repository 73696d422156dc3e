package org.siskindyke.standin;

import org.siskindyke.kernel.time.MonotonicClock;

/** Counts events and remembers the most in any second. Safe for use by several threads. */
final class RateMeter {
    private static final long SECOND_MILLIS = 1_000;

    private final MonotonicClock clock;
    private long total;
    private long second;
    private long inSecond;
    private long mostInSecond;

    RateMeter(MonotonicClock clock) {
        this.clock = clock;
    }

    synchronized void add(long events) {
        long now = clock.nowMillis() / SECOND_MILLIS;
        if (now != second) {
            second = now;
            inSecond = 0;
        }
        total += events;
        inSecond += events;
        mostInSecond = Math.max(mostInSecond, inSecond);
    }

    synchronized void reset() {
        total = 0;
        inSecond = 0;
        mostInSecond = 0;
    }

    synchronized long total() {
        return total;
    }

    synchronized long mostInSecond() {
        return mostInSecond;
    }
}
