package org.siskindyke.runtime.call;

import java.util.Set;
import java.util.function.Supplier;

import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.crash.SuspectAssessment;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.time.MonotonicClock;

/** Tells which calls must not run since they may crash backend servers. For any thread. */
public final class CrashGuard {
    /** How long after a crash the backend server is expected to start again. */
    private static final long RESTART_MILLIS = 5_000;
    /** When a caller should send a call again that would risk the last backend server of its service. */
    private static final long LAST_TARGET_RETRY_MILLIS = 1_000;

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
        return view.get().suspects().isEmpty()
                ? SuspectAssessment.NONE
                : view.get().suspects().assess(call.fingerprint(), call.caller(), clock.nowMillis());
    }

    /**
     * Returns when a suspected call may run at the backend server beside this router, in milliseconds from now; 0 for
     * at once.
     * It has to wait while all others of the service have crashed shortly before and are about to return.
     */
    public long waitMillis(Call call) {
        Set<TargetName> crashed = view.get().suspects().crashedWithin(RESTART_MILLIS, clock.nowMillis());
        boolean othersReturn = false;
        for (MemberRow other : view.get().members().serving()) {
            TargetAnnouncement target = other.targetOf(call.service()).orElse(null);
            if (target == null || other.id().equals(self.get())) {
                continue;
            }
            boolean hasCrashed = crashed.contains(target.target());
            if (target.accepting() && !hasCrashed) {
                return 0;
            }
            othersReturn |= hasCrashed;
        }
        return othersReturn ? LAST_TARGET_RETRY_MILLIS : 0;
    }
}
