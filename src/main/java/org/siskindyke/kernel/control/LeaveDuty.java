package org.siskindyke.kernel.control;

import org.siskindyke.kernel.table.Transaction;

/** Ends this member in order: hands its slices over, lets its charges find other grantors and ends its row. */
final class LeaveDuty {
    private static final long CHARGES_WAIT_MILLIS = 2_000;

    private final ControlContext context;
    private final HolderDuty holder;
    private final GrantorDuty grantor;
    private final HandoverDuty handover;
    private final TableWriter writer;
    private boolean active;
    private boolean trafficIdle;
    private boolean ending;
    private long handedOverMillis = Long.MAX_VALUE;

    LeaveDuty(
            ControlContext context, HolderDuty holder, GrantorDuty grantor, HandoverDuty handover, TableWriter writer) {
        this.context = context;
        this.holder = holder;
        this.grantor = grantor;
        this.handover = handover;
        this.writer = writer;
    }

    boolean isActive() {
        return active;
    }

    void start() {
        active = true;
        holder.setLeaving();
    }

    /** Tells that no call is in progress at this router any more. */
    void onTrafficIdle() {
        trafficIdle = true;
    }

    void tick(long nowMillis) {
        if (!active || ending) {
            return;
        }
        if (!holder.isJoined()) {
            finishWithoutRow();
            return;
        }
        if (!holder.isLeavingRecorded() || !handover.isFinished()) {
            return;
        }
        handedOverMillis = Math.min(handedOverMillis, nowMillis);
        boolean chargesServed = grantor.chargeCount() == 0 || nowMillis - handedOverMillis > CHARGES_WAIT_MILLIS;
        if (chargesServed && trafficIdle) {
            endRow(nowMillis);
        }
    }

    private void finishWithoutRow() {
        ending = true;
        context.listener().onLeft();
    }

    private void endRow(long nowMillis) {
        ending = true;
        grantor.close();
        holder.lease().end();
        context.listener().onLeaseChanged(Long.MIN_VALUE);
        Transaction transaction = TakeoverPlan.declareDead(context.view(), holder.row(), context.self(), null)
                .transaction()
                .build();
        writer.submit(transaction, nowMillis, outcome -> context.listener().onLeft());
    }
}
