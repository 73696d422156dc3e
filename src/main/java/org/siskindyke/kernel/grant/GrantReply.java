package org.siskindyke.kernel.grant;

import java.util.List;

/**
 * The reply to a heartbeat.
 *
 * @param renews whether the ranges replace those granted before; if not, the ranges granted before stay granted until
 *     they expire
 * @param ranges all ranges that the backend server is granted
 * @param grantMillis duration of the grant, counted from when the backend server sent the heartbeat
 */
public record GrantReply(boolean renews, List<GrantedRange> ranges, long grantMillis) {
    /** The reply that renews no grant. */
    public static final GrantReply NO_RENEWAL = new GrantReply(false, List.of(), 0);

    /** Copies the list. */
    public GrantReply {
        ranges = List.copyOf(ranges);
    }

    /**
     * A range of keys that a backend server is granted.
     *
     * @param first the first key
     * @param last the last key, included
     * @param token the fencing token
     * @param handover handover data of the previous owner; null if none is passed on
     */
    public record GrantedRange(int first, int last, long token, String handover) {}
}
