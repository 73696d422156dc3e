package org.siskindyke.kernel.time;

/** A clock that shows the time of day, which operators and time servers may set. */
@FunctionalInterface
public interface WallClock {
    /** Returns the current time as Unix time in milliseconds. */
    long nowMillis();
}
