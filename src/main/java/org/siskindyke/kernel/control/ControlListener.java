package org.siskindyke.kernel.control;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.GrantDecision;

/** Learns of changes of a router's own state, on the control thread. */
public interface ControlListener {
    /** The lease was renewed, or ended where the argument lies in the past. */
    void onLease(long leaseEndMillis);

    /** The member's row was committed; the router may serve once it has a lease. */
    void onJoined(MemberId grantor);

    /** The table says that this member is dead; it must never serve again. */
    void onDeclaredDead(MemberId declaredBy);

    /** The member has handed everything over and ended its row. */
    void onLeft();

    /** A grantor was replaced. */
    void onGrantorReplaced(MemberId before, MemberId after);

    /** A renewal was refused. */
    void onRenewalRefused(MemberId grantor, GrantDecision decision);

    /** An action failed in a way that shows a defect. */
    void onDefect(RuntimeException defect);

    /** A placement was decided and its outcome is known. */
    void onPlacement(PlacementDecision decision);
}
