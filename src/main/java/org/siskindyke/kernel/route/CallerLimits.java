package org.siskindyke.kernel.route;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of a header section
 * @param maxBodyBytes maximum size of a body
 * @param headerTimeoutMillis added to {@code idleTimeoutMillis} for the maximum time to receive a body after its header
 *     section; does not limit the time to receive the header section
 * @param idleTimeoutMillis maximum time that a connection may stay idle; an incomplete header section counts as idle
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /**
     * Limits until a configuration is known, for settings that a configuration omits, and for listeners that have no
     * configuration; the usual defaults of HTTP servers.
     */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 1 << 20, 3_000, 15_000);
}
