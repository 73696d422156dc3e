package org.siskindyke.runtime.call;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.crash.SuspectAssessment;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.time.MonotonicClock;

/** Tells which calls must not run since they may crash backend servers. For any thread. */
public final class CrashGuard {
    /** How long after a crash the backend server is expected to start again. */
    private static final long RESTART_MILLIS = 5_000;
    /** How long after a crash a member may still announce that the backend server accepts calls. */
    private static final long ANNOUNCEMENT_DELAY_MILLIS = 2_500;
    /** When a caller should send a call again that may not run at present. */
    public static final long RETRY_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final Supplier<ClusterView> view;
    private final Supplier<MemberId> self;

    /**
     * Creates a guard.
     *
     * @param clock the clock
     * @param view returns the view whose evidence decides
     * @param self returns the member of this router
     */
    public CrashGuard(MonotonicClock clock, Supplier<ClusterView> view, Supplier<MemberId> self) {
        this.clock = clock;
        this.view = view;
        this.self = self;
    }

    /** Returns how strongly a call is suspected; hashes its content only while any call is suspected. */
    public SuspectAssessment assess(Call call) {
        return view.get().suspects().isEmpty() ? SuspectAssessment.NONE : assess(call.fingerprint(), call.caller());
    }

    /** Returns how strongly the call of a caller with a known fingerprint is suspected. */
    public SuspectAssessment assess(RequestFingerprint fingerprint, ClientAccount caller) {
        return view.get().suspects().assess(fingerprint, caller, clock.nowMillis());
    }

    /**
     * Returns when a call should be sent again, in milliseconds from now; 0 where it may run at the backend server
     * beside this router. A convicted call must not run. A suspected one has to wait while all other backend servers of
     * the service have crashed shortly before and are about to return; one on trial may run at {@link #trialMember}
     * only.
     */
    public long retryAfterMillis(Call call, SuspectAssessment assessment) {
        return assessment.isSuspected() ? Math.max(waitMillis(call, assessment), assessment.retryAfterMillis()) : 0;
    }

    private long waitMillis(Call call, SuspectAssessment assessment) {
        boolean elsewhere = assessment.isOnTrial()
                && call.slice() == null
                && !trialMember(call).filter(m -> m.id().equals(self.get())).isPresent();
        return elsewhere || isLastTarget(call) ? RETRY_MILLIS : 0;
    }

    /**
     * Returns the member at whose backend server a call on trial may run: the same at all routers with the same view.
     * Empty where no backend server of the service accepts calls.
     */
    public Optional<MemberRow> trialMember(Call call) {
        Set<TargetName> crashed = crashedWithin(ANNOUNCEMENT_DELAY_MILLIS);
        RequestFingerprint fingerprint = call.fingerprint();
        return view.get().members().acceptingMembers(call.service()).stream()
                .filter(m -> !crashed.contains(
                        m.targetOf(call.service()).orElseThrow().target()))
                .max(Comparator.comparingLong(m -> fingerprint.scoreOf(m.id().value())));
    }

    private boolean isLastTarget(Call call) {
        Set<TargetName> justCrashed = crashedWithin(ANNOUNCEMENT_DELAY_MILLIS);
        Set<TargetName> returning = crashedWithin(RESTART_MILLIS);
        boolean othersReturn = false;
        for (MemberRow other : view.get().members().serving()) {
            TargetAnnouncement target = other.targetOf(call.service()).orElse(null);
            if (target == null || other.id().equals(self.get())) {
                continue;
            }
            if (target.accepting() && !justCrashed.contains(target.target())) {
                return false;
            }
            othersReturn |= returning.contains(target.target());
        }
        return othersReturn;
    }

    private Set<TargetName> crashedWithin(long spanMillis) {
        return view.get().suspects().crashedWithin(spanMillis, clock.nowMillis());
    }
}
