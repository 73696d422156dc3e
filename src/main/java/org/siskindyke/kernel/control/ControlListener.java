package org.siskindyke.kernel.control;

import org.siskindyke.kernel.crash.SuspectReport;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.GrantDecision;
import org.siskindyke.kernel.place.EvacuationOrders;
import org.siskindyke.kernel.table.RowPath;

/** Receives changes of a member's state, on the control thread. Only {@link #onInternalError} has no default. */
public interface ControlListener {
    /**
     * Called when the lease was renewed, invalidated or ended, or its outage bound extended; not called when the lease
     * runs out.
     *
     * @param leaseEndMillis end of the lease by the member's clock, in milliseconds; the lease has ended if it is past
     */
    default void onLeaseChanged(long leaseEndMillis) {}

    /** Called when the member's row was committed; the router may serve once it has a lease. */
    default void onJoined(MemberId grantor) {}

    /**
     * Called when the table says that this member is dead; it must never serve again.
     *
     * @param declaredBy the member that declared it dead: itself where it left; null where its row was deleted
     */
    default void onDeclaredDead(MemberId declaredBy) {}

    /**
     * Called when a leaving member has ended: the outcome of the write that declares it dead is known, or it had no
     * row. Not always called where the member was declared dead first, see {@link #onDeclaredDead}.
     */
    default void onLeft() {}

    /** Called when this member's row records another grantor. */
    default void onGrantorReplaced(MemberId before, MemberId after) {}

    /** Called when a grantor has refused a renewal for another reason than an unknown epoch. */
    default void onRenewalRefused(MemberId grantor, GrantDecision decision) {}

    /** Called when an action of the state machine threw an unexpected exception. */
    void onInternalError(RuntimeException exception);

    /**
     * Called when a newer configuration was received.
     *
     * @param configuration the configuration
     * @param from the member that sent it; null where this router read it from the table or had it before
     * @return whether it can be applied; if not, the member keeps and spreads the previous one
     */
    default boolean onConfiguration(ConfigurationText configuration, MemberId from) {
        return true;
    }

    /** Called when newer evacuation orders were received. */
    default void onEvacuations(EvacuationOrders orders) {}

    /** Called when this member learns that a request is refused, since backend servers ended while they ran it. */
    default void onConvicted(SuspectReport evidence) {}

    /** Called when a row of the table that cannot be read was left out. */
    default void onRowIgnored(RowPath path, SiskindykeException cause) {}

    /** Called when a new {@link org.siskindyke.kernel.table.TableEra} began, since the table was restored. */
    default void onEraBegan(long era, long before) {}

    /** Called when a row that the table had lost was written again, or not since it had been written by others. */
    default void onRowsWrittenAgain(MemberId member, boolean committed) {}

    /** Called when the outcome of a placement decision is known. */
    default void onPlacement(PlacementDecision decision) {}
}
