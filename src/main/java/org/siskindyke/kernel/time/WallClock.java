package org.siskindyke.kernel.time;

/** Reads the time of day, which operators and time servers may set. */
@FunctionalInterface
public interface WallClock {
    /** Returns the milliseconds since the epoch. */
    long nowMillis();
}
