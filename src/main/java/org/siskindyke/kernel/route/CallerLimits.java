package org.siskindyke.kernel.route;

/**
 * Bounds on what a caller may send.
 *
 * @param maxHeaderBytes longest header section
 * @param maxBodyBytes longest body
 * @param headerTimeoutMillis longest time that a header section may take
 * @param idleTimeoutMillis longest time that a connection may stay idle
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits in force before a configuration is known; the usual ones of HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 1 << 20, 3_000, 15_000);
}
