package org.siskindyke.kernel.route;

/**
 * Bounds on what a caller may send.
 *
 * @param headerBytes longest header section
 * @param bodyBytes longest body
 * @param headerMillis longest time that a header section may take
 * @param idleMillis longest time that a connection may stay idle
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerMillis, long idleMillis) {
    /** Limits in force before a configuration is known; the usual ones of HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 1 << 20, 3_000, 15_000);
}
