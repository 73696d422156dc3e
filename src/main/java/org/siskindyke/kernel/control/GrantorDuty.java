package org.siskindyke.kernel.control;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.GrantDecision;
import org.siskindyke.kernel.membership.LeaseGrantor;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.table.RowPath;

/** Answers renewals of the members that record this one as grantor and declares them dead when they stay silent. */
final class GrantorDuty {
    /** Charges from which on a member is not willing to take on more. */
    static final int MAX_CHARGES = 4;

    private final ControlContext context;
    private final TableSync sync;
    private final HolderDuty holder;
    private final DeathDuty deaths;
    private final LeaseGrantor grantor;
    private long lastTickMillis = Long.MIN_VALUE;

    GrantorDuty(ControlContext context, TableSync sync, HolderDuty holder, DeathDuty deaths, LeaseGrantor grantor) {
        this.context = context;
        this.sync = sync;
        this.holder = holder;
        this.deaths = deaths;
        this.grantor = grantor;
    }

    int chargeCount() {
        return grantor.granteeCount();
    }

    /** Stops granting, for good. */
    void close() {
        grantor.close();
    }

    void onMemberRow(MemberRow member, long nowMillis) {
        boolean mine = member.mayServe() && member.grantor().equals(context.self());
        if (mine) {
            grantor.addGrantee(member.id(), member.epoch(), nowMillis);
        } else {
            grantor.removeGrantee(member.id());
        }
    }

    PeerMessenger.RenewalReply onRenewal(PeerMessenger.Renewal renewal) {
        return new PeerMessenger.RenewalReply(
                renewal.sequence(), decide(renewal), context.settings().lease().leaseMillis());
    }

    private GrantDecision decide(PeerMessenger.Renewal renewal) {
        long nowMillis = context.nowMillis();
        if (!holder.isJoined() || !holder.lease().isValid(nowMillis)) {
            grantor.postponeExpiry(renewal.member(), nowMillis);
            return GrantDecision.NO_LEASE;
        }
        if (renewal.probe()) {
            boolean willing = !holder.isLeavingRecorded() && grantor.granteeCount() < MAX_CHARGES;
            return willing ? GrantDecision.WILLING : GrantDecision.BUSY;
        }
        GrantDecision decision = grantor.onRenewal(renewal.member(), renewal.epoch(), nowMillis);
        if (decision == GrantDecision.UNKNOWN_EPOCH) {
            sync.fetch(RowPath.member(renewal.member()));
        }
        if (decision == GrantDecision.GRANTED && holder.isLeavingRecorded()) {
            return GrantDecision.GRANTED_LEAVING;
        }
        return decision;
    }

    void tick(long nowMillis) {
        boolean paused = lastTickMillis != Long.MIN_VALUE
                && nowMillis - lastTickMillis > context.settings().lease().leaseMillis() / 2;
        lastTickMillis = nowMillis;
        if (paused) {
            grantor.postponeAllExpiries(nowMillis);
        }
        if (paused || !holder.lease().isValid(nowMillis)) {
            return;
        }
        for (MemberId silent : grantor.expiredGrantees(nowMillis)) {
            deaths.declare(silent, "silent for lease and margin");
        }
    }
}
