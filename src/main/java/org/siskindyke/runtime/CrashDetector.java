package org.siskindyke.runtime;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.crash.CrashInvestigation;
import org.siskindyke.kernel.crash.CrashInvestigation.Loss;
import org.siskindyke.kernel.crash.RecentAnswers;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.crash.TargetIncarnation;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.CallObserver;
import org.siskindyke.runtime.call.LocalTarget;
import org.siskindyke.runtime.call.MemberServingState;
import org.siskindyke.runtime.call.Reply;

/**
 * Detects crashes of the backend servers beside a {@link RouterProcess} and records what they ran then.
 *
 * <p>After a lost answer or a failed connection, the detector opens one connection to the backend server's address. If
 * the address refuses it, the backend server has crashed. Announcements do not tell one incarnation from the next, so a
 * backend server that listens again by then is not noticed.
 *
 * <p>Calls may be observed on any thread; the state is confined to the control thread.
 */
final class CrashDetector implements CallObserver {
    private static final System.Logger LOGGER = System.getLogger(CrashDetector.class.getName());

    private final MonotonicClock clock;
    private final ControlThread control;
    private final Consumer<ServiceName> onUnreachable;
    private final Supplier<MemberController> member;
    private final RecentAnswers recentAnswers = new RecentAnswers();
    private final Map<ServiceName, CrashInvestigation> investigations = new HashMap<>();
    private final Set<ServiceName> probesInProgress = new HashSet<>();

    CrashDetector(
            MonotonicClock clock,
            ControlThread control,
            Consumer<ServiceName> onUnreachable,
            Supplier<MemberController> member) {
        this.clock = clock;
        this.control = control;
        this.onUnreachable = onUnreachable;
        this.member = member;
    }

    @Override
    public void onDispatch(Call call, MemberServingState state, long generation, long leaseEndMillis, long nowMillis) {
        // Crashes show in replies only.
    }

    @Override
    public void onReply(Call call, LocalTarget target, Reply reply) {
        boolean lost = reply.refusal() == Refusal.ANSWER_LOST;
        if (reply.isAnswer()) {
            RequestFingerprint request = call.fingerprint();
            control.execute(() -> onAnswer(request));
        } else if (lost || reply.refusal() == Refusal.TARGET_UNREACHABLE) {
            control.execute(() -> onFailure(call, target.announcement(), lost));
        }
    }

    /** Records a sign of life of a backend server. */
    void onAnnounced(TargetAnnouncement announcement) {
        investigation(announcement.service()).onAlive();
    }

    private CrashInvestigation investigation(ServiceName service) {
        return investigations.computeIfAbsent(service, s -> new CrashInvestigation());
    }

    private void onAnswer(RequestFingerprint request) {
        recentAnswers.onAnswered(request, clock.nowMillis());
        member.get().onSuspectAnswered(request);
    }

    private void onFailure(Call call, TargetAnnouncement target, boolean lost) {
        long nowMillis = clock.nowMillis();
        RequestFingerprint request = call.fingerprint();
        if (lost && !recentAnswers.isRecent(request, nowMillis)) {
            Loss loss = new Loss(request, call.caller(), isSuspected(request, call.caller(), nowMillis), nowMillis);
            investigation(target.service()).onLost(loss);
        }
        if (probesInProgress.add(target.service())) {
            probe(target);
        }
    }

    private boolean isSuspected(RequestFingerprint request, ClientAccount caller, long nowMillis) {
        return member.get().view().suspects().assess(request, caller, nowMillis).isSuspected();
    }

    private void probe(TargetAnnouncement target) {
        try {
            AsynchronousSocketChannel channel = AsynchronousSocketChannel.open();
            channel.connect(new InetSocketAddress(target.host(), target.port()), null, new CompletionHandler<>() {
                @Override
                public void completed(Void result, Object attachment) {
                    close(channel);
                    control.execute(() -> onConnected(target));
                }

                @Override
                public void failed(Throwable failure, Object attachment) {
                    close(channel);
                    control.execute(() -> onNotConnected(target, failure));
                }
            });
        } catch (IOException e) {
            probesInProgress.remove(target.service());
            LOGGER.log(Level.WARNING, "event=probe-failed service=" + target.service(), e);
        }
    }

    private static void close(AsynchronousSocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            LOGGER.log(Level.DEBUG, "event=probe-close-failed", e);
        }
    }

    private void onConnected(TargetAnnouncement target) {
        probesInProgress.remove(target.service());
        investigation(target.service()).onConnected();
    }

    private void onNotConnected(TargetAnnouncement target, Throwable failure) {
        probesInProgress.remove(target.service());
        onUnreachable.accept(target.service());
        if (!(failure instanceof ConnectException)) {
            return;
        }
        List<Loss> running = investigation(target.service()).onRefused(clock.nowMillis());
        LOGGER.log(
                Level.WARNING,
                "event=target-crashed service=" + target.service() + " target=" + target.target() + " suspects="
                        + running.stream().map(Loss::request).toList());
        member.get().onCrash(new TargetIncarnation(target.target(), System.currentTimeMillis()), running);
    }
}
