package org.siskindyke.kernel.control;

import org.siskindyke.kernel.membership.LeaseSettings;

/**
 * Settings of a router's control state machine.
 *
 * @param lease durations of the lease protocol
 * @param pollMillis interval at which the readers of a failure domain ask the table for changes
 * @param gossipMillis interval at which a router exchanges changes with another
 * @param planMillis interval at which the planner of a service looks for better placement
 * @param outageBoundMillis how long a member serves without reaching the table
 * @param peerGrantors whether other members renew leases; otherwise each member renews its own at the table
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

    /** The defaults. */
    public static final ControlSettings DEFAULT = new ControlSettings(
            LeaseSettings.DEFAULT,
            DEFAULT_POLL_MILLIS,
            DEFAULT_GOSSIP_MILLIS,
            DEFAULT_PLAN_MILLIS,
            DEFAULT_OUTAGE_BOUND_MILLIS,
            true);
}
