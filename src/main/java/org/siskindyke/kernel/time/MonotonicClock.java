package org.siskindyke.kernel.time;

/** A clock that never goes back and does not follow the time of day. */
@FunctionalInterface
public interface MonotonicClock {
    /**
     * Returns the current time.
     *
     * @return milliseconds since an arbitrary origin that all processes of one host share
     */
    long nowMillis();
}
