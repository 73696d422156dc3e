package org.siskindyke.runtime;

import java.util.concurrent.TimeUnit;

import org.siskindyke.kernel.time.MonotonicClock;

/** Reads the host's monotonic clock, which all processes of the host share. */
public final class SystemMonotonicClock implements MonotonicClock {
    /** The only instance needed. */
    public static final SystemMonotonicClock INSTANCE = new SystemMonotonicClock();

    @Override
    public long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
