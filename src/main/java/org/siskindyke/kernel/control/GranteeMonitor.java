package org.siskindyke.kernel.control;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.GrantDecision;
import org.siskindyke.kernel.membership.LeaseGrantor;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.table.RowPath;

/**
 * Answers renewals of this member's grantees: the members that record it as their grantor. Declares a grantee dead when
 * its lease and margin have passed without a renewal.
 */
final class GranteeMonitor {
    /** A member with this many grantees answers probes with {@link GrantDecision#BUSY}. */
    static final int MAX_GRANTEES = 4;

    private final ControlContext context;
    private final TableSync sync;
    private final MemberRegistration registration;
    private final DeadMemberDetector deadMemberDetector;
    private final LeaseGrantor grantor;
    private long lastTickMillis = Long.MIN_VALUE;

    GranteeMonitor(
            ControlContext context,
            TableSync sync,
            MemberRegistration registration,
            DeadMemberDetector deadMemberDetector,
            LeaseGrantor grantor) {
        this.context = context;
        this.sync = sync;
        this.registration = registration;
        this.deadMemberDetector = deadMemberDetector;
        this.grantor = grantor;
    }

    int granteeCount() {
        return grantor.granteeCount();
    }

    /** Refuses all renewals from now on. */
    void close() {
        grantor.close();
    }

    void onMemberRow(MemberRow member, long nowMillis) {
        boolean isGrantee = member.mayServe() && member.grantor().equals(context.self());
        if (isGrantee) {
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
        if (!registration.isJoined() || !registration.lease().isValid(nowMillis)) {
            grantor.postponeExpiry(renewal.member(), nowMillis);
            return GrantDecision.NO_LEASE;
        }
        if (renewal.probe()) {
            boolean willing = !registration.isLeavingRecorded() && grantor.granteeCount() < MAX_GRANTEES;
            return willing ? GrantDecision.WILLING : GrantDecision.BUSY;
        }
        GrantDecision decision = grantor.onRenewal(renewal.member(), renewal.epoch(), nowMillis);
        if (decision == GrantDecision.UNKNOWN_EPOCH) {
            sync.fetch(RowPath.member(renewal.member()));
        }
        if (decision == GrantDecision.GRANTED && registration.isLeavingRecorded()) {
            return GrantDecision.GRANTED_LEAVING;
        }
        return decision;
    }

    /**
     * Declares expired grantees dead. If this process did not run for more than half a lease, it could not answer
     * renewals in that time, so all grantees first get the full expiry timeout again.
     */
    void tick(long nowMillis) {
        boolean paused = lastTickMillis != Long.MIN_VALUE
                && nowMillis - lastTickMillis > context.settings().lease().leaseMillis() / 2;
        lastTickMillis = nowMillis;
        if (paused) {
            grantor.postponeAllExpiries(nowMillis);
        }
        if (paused || !registration.lease().isValid(nowMillis)) {
            return;
        }
        for (MemberId expired : grantor.giveUpExpiredGrantees(nowMillis)) {
            deadMemberDetector.declareDead(expired, "lease and margin passed without a renewal");
        }
    }
}
