package org.siskindyke.runtime;

import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.kernel.time.WallClock;

/**
 * Notices that the machine was suspended, during which the monotonic clock stands still and the time of day runs on.
 * A forward step of the time of day looks the same and costs one renewal of the lease.
 */
final class SuspensionDetector {
    /** Difference between the clocks that shows a suspension; above the jitter of reading both. */
    private static final long SUSPENDED_MILLIS = 250;

    private final MonotonicClock monotonic;
    private final WallClock wall;
    private long offsetMillis;

    SuspensionDetector(MonotonicClock monotonic, WallClock wall) {
        this.monotonic = monotonic;
        this.wall = wall;
        this.offsetMillis = wall.nowMillis() - monotonic.nowMillis();
    }

    /** Tells whether time has passed since the last question that the monotonic clock did not count. */
    boolean wasSuspended() {
        long nowOffsetMillis = wall.nowMillis() - monotonic.nowMillis();
        long missedMillis = nowOffsetMillis - offsetMillis;
        offsetMillis = nowOffsetMillis;
        return missedMillis > SUSPENDED_MILLIS;
    }
}
