package org.siskindyke.kernel.time;

/** Reads a clock that never goes back and does not follow the time of day. */
@FunctionalInterface
public interface MonotonicClock {
    /**
     * Returns the present reading.
     *
     * @return milliseconds since an arbitrary origin that all processes of one host share
     */
    long nowMillis();
}
