package org.siskindyke.runtime;

import java.util.concurrent.TimeUnit;

import org.siskindyke.kernel.time.MonotonicClock;

/** The host's monotonic clock, which all processes on the host share. */
public final class SystemMonotonicClock implements MonotonicClock {
    /** The shared instance; the class has no state. */
    public static final SystemMonotonicClock INSTANCE = new SystemMonotonicClock();

    @Override
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
