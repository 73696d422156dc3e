package org.siskindyke.kernel.control;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.GrantDecision;

/** Learns of changes of a router's own state, on the control thread. Only defects must be handled. */
public interface ControlListener {
    /** The lease was renewed, or ended where the argument lies in the past. */
    default void onLeaseChanged(long leaseEndMillis) {}

    /** The member's row was committed; the router may serve once it has a lease. */
    default void onJoined(MemberId grantor) {}

    /** The table says that this member is dead; it must never serve again. */
    default void onDeclaredDead(MemberId declaredBy) {}

    /** The member has handed everything over and ended its row. */
    default void onLeft() {}

    /** A grantor was replaced. */
    default void onGrantorReplaced(MemberId before, MemberId after) {}

    /** A renewal was refused. */
    default void onRenewalRefused(MemberId grantor, GrantDecision decision) {}

    /** An action failed in a way that shows a defect. */
    void onInternalError(RuntimeException defect);

    /** A newer configuration was learned. */
    default void onConfiguration(ConfigurationText configuration) {}

    /** A placement was decided and its outcome is known. */
    default void onPlacement(PlacementDecision decision) {}
}
