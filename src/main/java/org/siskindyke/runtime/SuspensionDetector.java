package org.siskindyke.runtime;

import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.kernel.time.WallClock;

/**
 * Detects that the machine was suspended: during a suspension the monotonic clock stops but the wall clock does not. A
 * forward step of the wall clock looks the same; such a false positive costs one renewal of the lease.
 */
final class SuspensionDetector {
    /** Shift between the clocks above which a suspension is assumed; larger than the jitter of reading both. */
    private static final long MIN_SUSPENSION_MILLIS = 250;

    private final MonotonicClock monotonic;
    private final WallClock wall;
    private long lastOffsetMillis;

    SuspensionDetector(MonotonicClock monotonic, WallClock wall) {
        this.monotonic = monotonic;
        this.wall = wall;
        this.lastOffsetMillis = wall.nowMillis() - monotonic.nowMillis();
    }

    /** Returns whether the machine was suspended since the last call of this method, or since construction. */
    boolean wasSuspended() {
        long currentOffsetMillis = wall.nowMillis() - monotonic.nowMillis();
        long uncountedMillis = currentOffsetMillis - lastOffsetMillis;
        lastOffsetMillis = currentOffsetMillis;
        return uncountedMillis > MIN_SUSPENSION_MILLIS;
    }
}
