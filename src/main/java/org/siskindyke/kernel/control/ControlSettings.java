package org.siskindyke.kernel.control;

import org.siskindyke.kernel.membership.LeaseSettings;

/**
 * Settings of a member's control state machine. Intervals of polls and gossip vary at random by up to a quarter.
 *
 * @param lease durations of the lease protocol
 * @param pollMillis interval at which the member with the lowest id in a failure domain polls the table for changes
 * @param gossipMillis interval at which a member exchanges changes with a random other
 * @param planMillis interval at which a member assigns slices without an owner, and minimum interval at which it
 *     compares its load with that of another; the maximum is twice as long, but the interval after a move is fixed
 * @param outageBoundMillis how long a member serves without reaching the table
 * @param peerGrantors whether members grant leases to each other; otherwise each member renews its lease at the table
 */
public record ControlSettings(
        LeaseSettings lease,
        long pollMillis,
        long gossipMillis,
        long planMillis,
        long outageBoundMillis,
        boolean peerGrantors) {
    private static final long DEFAULT_POLL_MILLIS = 250;
    private static final long DEFAULT_GOSSIP_MILLIS = 200;
    private static final long DEFAULT_PLAN_MILLIS = 500;
    private static final long DEFAULT_OUTAGE_BOUND_MILLIS = 600_000;

    /** Defaults. */
    public static final ControlSettings DEFAULT = new ControlSettings(
            LeaseSettings.DEFAULT,
            DEFAULT_POLL_MILLIS,
            DEFAULT_GOSSIP_MILLIS,
            DEFAULT_PLAN_MILLIS,
            DEFAULT_OUTAGE_BOUND_MILLIS,
            true);
}
