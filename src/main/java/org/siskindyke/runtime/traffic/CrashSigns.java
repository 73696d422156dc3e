package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;

import org.siskindyke.kernel.crash.CrashInvestigation.Loss;
import org.siskindyke.kernel.crash.RecentAnswers;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.CrashGuard;

/**
 * Reports which calls a backend server ran when it lost its connections, and which suspected calls it has answered.
 * Confined to the traffic loop.
 */
final class CrashSigns {
    private final MonotonicClock clock;
    private final CrashGuard crashGuard;
    private final TargetObserver observer;
    private final TargetProbe probe;
    private final RecentAnswers recentAnswers = new RecentAnswers();

    CrashSigns(TrafficLoop traffic, MonotonicClock clock, CrashGuard crashGuard, TargetObserver observer) {
        this.clock = clock;
        this.crashGuard = crashGuard;
        this.observer = observer;
        this.probe = new TargetProbe(traffic, observer);
    }

    /** Records an answer to a call that ran, after which the backend server is still there. */
    void onAnswered(Call call) {
        RequestFingerprint fingerprint = call.fingerprint();
        recentAnswers.onAnswered(fingerprint, clock.nowMillis());
        if (crashGuard.assess(fingerprint, call.caller()).isSuspected()) {
            observer.onSuspectAnswered(fingerprint);
        }
    }

    /**
     * Records a call whose connection ended before its answer was complete, or whose answer only that end completed. A
     * call like one that was answered recently is no suspect.
     *
     * @param call the call
     * @param apart whether the call ran apart from other suspected ones
     * @param address address of the backend server
     * @param pool the connections to it
     */
    void onConnectionEnded(Call call, boolean apart, InetSocketAddress address, HttpClientPool pool) {
        RequestFingerprint fingerprint = call.fingerprint();
        if (!recentAnswers.isRecent(fingerprint, clock.nowMillis())) {
            boolean suspected =
                    apart || crashGuard.assess(fingerprint, call.caller()).isSuspected();
            observer.onConnectionLost(new Loss(fingerprint, call.caller(), suspected, clock.nowMillis()));
            probe.schedule(address, pool);
        }
    }
}
