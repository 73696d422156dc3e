package org.siskindyke.kernel.route;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of a header section
 * @param maxBodyBytes maximum size of a body
 * @param headerTimeoutMillis maximum time to receive a header section
 * @param idleTimeoutMillis maximum time that a connection may stay idle
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits until a configuration is known; the usual defaults of HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 1 << 20, 3_000, 15_000);
}
