package org.siskindyke.kernel.control;

import org.siskindyke.kernel.table.Transaction;

/**
 * Ends a leaving member: waits until its slices are handed over, its grantees have found other grantors (or have had
 * {@link #GRANTEES_WAIT_MILLIS} to do so) and no call is in progress, and then declares the member dead in the table.
 */
final class LeaveController {
    private static final long GRANTEES_WAIT_MILLIS = 2_000;

    private final ControlContext context;
    private final MemberRegistration registration;
    private final GranteeMonitor granteeMonitor;
    private final HandoverController handover;
    private final TableWriter writer;
    private boolean active;
    private boolean trafficIdle;
    private boolean ending;
    private long handedOverMillis = Long.MAX_VALUE;

    LeaveController(
            ControlContext context,
            MemberRegistration registration,
            GranteeMonitor granteeMonitor,
            HandoverController handover,
            TableWriter writer) {
        this.context = context;
        this.registration = registration;
        this.granteeMonitor = granteeMonitor;
        this.handover = handover;
        this.writer = writer;
    }

    boolean isActive() {
        return active;
    }

    void start() {
        active = true;
        registration.setLeaving();
    }

    /** Called once no call is in progress at this router. */
    void onTrafficIdle() {
        trafficIdle = true;
    }

    void tick(long nowMillis) {
        if (!active || ending) {
            return;
        }
        if (!registration.isJoined()) {
            finishWithoutRow();
            return;
        }
        if (!registration.isLeavingRecorded() || !handover.isFinished()) {
            return;
        }
        handedOverMillis = Math.min(handedOverMillis, nowMillis);
        boolean granteesDone =
                granteeMonitor.granteeCount() == 0 || nowMillis - handedOverMillis > GRANTEES_WAIT_MILLIS;
        if (granteesDone && trafficIdle) {
            declareSelfDead(nowMillis);
        }
    }

    private void finishWithoutRow() {
        ending = true;
        context.listener().onLeft();
    }

    private void declareSelfDead(long nowMillis) {
        ending = true;
        granteeMonitor.close();
        registration.lease().end();
        context.listener().onLeaseChanged(Long.MIN_VALUE);
        Transaction transaction = TakeoverPlan.declareDead(context.view(), registration.row(), context.self(), null)
                .transaction()
                .build();
        writer.submit(transaction, nowMillis, outcome -> context.listener().onLeft());
    }
}
