package org.siskindyke.kernel.grant;

import java.util.List;

/**
 * Answers a heartbeat.
 *
 * @param renews whether the ranges replace what the backend server holds; otherwise it keeps that until it lapses
 * @param ranges everything it is to hold
 * @param grantMillis how long it may hold them, from when it sent the heartbeat
 */
public record GrantReply(boolean renews, List<GrantedRange> ranges, long grantMillis) {
    /** The reply that renews nothing. */
    public static final GrantReply NO_RENEWAL = new GrantReply(false, List.of(), 0);

    /** Copies the list. */
    public GrantReply {
        ranges = List.copyOf(ranges);
    }

    /**
     * A range that a backend server is to hold.
     *
     * @param first the first key
     * @param last the last key
     * @param token the fencing token
     * @param handover what its last holder left, or null
     */
    public record GrantedRange(int first, int last, long token, String handover) {}
}
