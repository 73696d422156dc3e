package org.siskindyke.runtime;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.crash.CrashInvestigation;
import org.siskindyke.kernel.crash.CrashInvestigation.Loss;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.crash.TargetIncarnation;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.traffic.TargetObserver;

/**
 * Detects crashes of the backend server beside an {@link InstanceRouter} and records what it ran then. All methods may
 * be called on any thread; the state is confined to the control thread.
 */
final class TargetCrashes implements TargetObserver {
    private final MonotonicClock clock;
    private final ControlThread control;
    private final Supplier<MemberController> member;
    private final Runnable onUnreachable;
    private final Consumer<TargetIncarnation> onLeavingAnnounced;
    private final EventLog log;
    private final CrashInvestigation investigation = new CrashInvestigation();
    private TargetIncarnation present;

    /**
     * Creates a detector.
     *
     * @param clock the clock
     * @param control the control thread
     * @param member returns the current member
     * @param onUnreachable runs on the control thread when a call could not be sent to the backend server
     * @param onLeavingAnnounced runs on the control thread when the backend server says in a response that it leaves
     * @param log receives the crashes
     */
    TargetCrashes(
            MonotonicClock clock,
            ControlThread control,
            Supplier<MemberController> member,
            Runnable onUnreachable,
            Consumer<TargetIncarnation> onLeavingAnnounced,
            EventLog log) {
        this.clock = clock;
        this.control = control;
        this.member = member;
        this.onUnreachable = onUnreachable;
        this.onLeavingAnnounced = onLeavingAnnounced;
        this.log = log;
    }

    @Override
    public void onUnreachable() {
        control.execute(onUnreachable);
    }

    @Override
    public void onLeavingAnnounced(TargetIncarnation target) {
        control.execute(() -> onLeavingAnnounced.accept(target));
    }

    @Override
    public void onConnectionLost(Loss loss) {
        control.execute(() -> investigation.onLost(loss));
    }

    @Override
    public void onConnected() {
        control.execute(investigation::onConnected);
    }

    @Override
    public void onRefused() {
        control.execute(() -> onCrash(investigation.onRefused(clock.nowMillis())));
    }

    @Override
    public void onSuspectAnswered(RequestFingerprint request) {
        control.execute(() -> {
            log.event("suspect-cleared", "fingerprint", request);
            member.get().onSuspectAnswered(request);
        });
    }

    /** Records a heartbeat of an incarnation of the backend server; a new one proves that the previous has ended. */
    void onHeartbeat(TargetIncarnation incarnation, boolean leaving) {
        control.execute(() -> update(incarnation, leaving));
    }

    private void update(TargetIncarnation incarnation, boolean leaving) {
        if (incarnation.equals(present)) {
            investigation.onAlive();
        } else {
            onCrash(investigation.onStarted(clock.nowMillis()));
            present = incarnation;
        }
        if (leaving) {
            investigation.onLeaving();
        }
    }

    /** Records that the backend server will end as planned. */
    void onLeaving() {
        control.execute(investigation::onLeaving);
    }

    private void onCrash(List<Loss> running) {
        if (running.isEmpty() || present == null) {
            return;
        }
        member.get().onCrash(present, running);
        long nowMillis = clock.nowMillis();
        List<String> suspects = running.stream()
                .map(Loss::request)
                .distinct()
                .map(request -> request + ":" + crashCount(request, nowMillis))
                .toList();
        log.event("target-crashed", "target", present, "running", running.size(), "suspects", suspects);
    }

    private long crashCount(RequestFingerprint request, long nowMillis) {
        return member.get().view().suspects().report(request, nowMillis).crashes().stream()
                .filter(crash -> !crash.cleared())
                .count();
    }
}
