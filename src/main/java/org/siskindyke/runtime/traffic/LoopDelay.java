package org.siskindyke.runtime.traffic;

import org.siskindyke.kernel.time.MonotonicClock;

/** Measures how late an event loop runs what is due, by a check that it should run at a fixed interval. */
final class LoopDelay {
    private final MonotonicClock clock;
    private final long intervalMillis;
    private long lastCheckMillis;
    private long lastDelayMillis;
    private long maxMillis;

    LoopDelay(MonotonicClock clock, long intervalMillis) {
        this.clock = clock;
        this.intervalMillis = intervalMillis;
        this.lastCheckMillis = clock.nowMillis();
    }

    /** Records that the check has run. */
    void onCheck() {
        lastDelayMillis = overdueMillis();
        lastCheckMillis = clock.nowMillis();
        maxMillis = Math.max(maxMillis, lastDelayMillis);
    }

    /**
     * Returns how long what is read now may have waited: the delay of the last check, since the loop had read nothing
     * for that long, or by how much the next one is overdue.
     */
    long nowMillis() {
        return Math.max(lastDelayMillis, overdueMillis());
    }

    private long overdueMillis() {
        return Math.max(0, clock.nowMillis() - lastCheckMillis - intervalMillis);
    }

    /** Returns the longest delay of a check since the last call of this method. */
    long takeMaxMillis() {
        long taken = maxMillis;
        maxMillis = 0;
        return taken;
    }
}
