package org.siskindyke.runtime;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.control.SuspectList.SuspectRow;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.CallFingerprint;
import org.siskindyke.runtime.call.CallObserver;
import org.siskindyke.runtime.call.LocalTarget;
import org.siskindyke.runtime.call.MemberServingState;
import org.siskindyke.runtime.call.Reply;

/**
 * Detects crashes of the backend servers beside this router and records the calls that may have caused them.
 *
 * <p>After a lost answer or a failed connection, the detector probes the backend server's address with one TCP
 * connection. If that fails, it assumes that the backend server has crashed and records the calls whose answers were
 * lost shortly before in the table as suspects.
 *
 * <p>Calls may be observed on any thread; the state is confined to the control thread.
 */
final class CrashDetector implements CallObserver {
    private static final System.Logger LOGGER = System.getLogger(CrashDetector.class.getName());

    /** Age up to which a lost answer makes its call a suspect when a crash is detected. */
    private static final long SUSPECT_WINDOW_MILLIS = 2_000;

    /** Number of remembered lost answers at which further ones are ignored. */
    private static final int MAX_LOST_ANSWERS = 256;

    private final MonotonicClock clock;
    private final ControlThread control;
    private final Consumer<ServiceName> onUnreachable;
    private final Supplier<MemberController> member;
    private final Deque<LostAnswer> lostAnswers = new ArrayDeque<>();
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

    private record LostAnswer(ServiceName service, RowPath path, long atMillis) {}

    @Override
    public void onDispatch(Call call, MemberServingState state, long generation, long leaseEndMillis, long nowMillis) {
        // Crashes show in replies only.
    }

    @Override
    public void onReply(Call call, LocalTarget target, Reply reply) {
        boolean lost = reply.refusal() == Refusal.ANSWER_LOST;
        if (lost || reply.refusal() == Refusal.TARGET_UNREACHABLE) {
            control.execute(() -> onFailure(call, target.announcement(), lost));
        }
    }

    /** Discards lost answers that are too old to be suspects, of all services, not only of the announced one. */
    void onAnnounced(TargetAnnouncement announcement) {
        long oldestMillis = clock.nowMillis() - SUSPECT_WINDOW_MILLIS;
        lostAnswers.removeIf(l -> l.atMillis() < oldestMillis);
    }

    private void onFailure(Call call, TargetAnnouncement target, boolean lost) {
        if (lost && lostAnswers.size() < MAX_LOST_ANSWERS) {
            RowPath path = CallFingerprint.suspectPath(call);
            lostAnswers.add(new LostAnswer(call.service(), path, clock.nowMillis()));
        }
        if (probesInProgress.add(target.service())) {
            probe(target);
        }
    }

    private void probe(TargetAnnouncement target) {
        try {
            AsynchronousSocketChannel channel = AsynchronousSocketChannel.open();
            channel.connect(new InetSocketAddress(target.host(), target.port()), null, new CompletionHandler<>() {
                @Override
                public void completed(Void result, Object attachment) {
                    close(channel);
                    control.execute(() -> probesInProgress.remove(target.service()));
                }

                @Override
                public void failed(Throwable failure, Object attachment) {
                    close(channel);
                    control.execute(() -> onCrash(target));
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

    private void onCrash(TargetAnnouncement target) {
        probesInProgress.remove(target.service());
        long oldestMillis = clock.nowMillis() - SUSPECT_WINDOW_MILLIS;
        Set<RowPath> suspects = new HashSet<>();
        lostAnswers.removeIf(lostAnswer -> {
            boolean isOfTarget = lostAnswer.service().equals(target.service());
            if (isOfTarget && lostAnswer.atMillis() >= oldestMillis) {
                suspects.add(lostAnswer.path());
            }
            return isOfTarget;
        });
        LOGGER.log(
                Level.WARNING,
                "event=target-crashed service=" + target.service() + " target=" + target.target() + " suspects="
                        + suspects.size());
        onUnreachable.accept(target.service());
        suspects.forEach(this::record);
    }

    private void record(RowPath path) {
        Row current = member.get().view().replica().get(path);
        int crashes = member.get().view().suspects().crashes(path) + 1;
        Transaction transaction = Transaction.builder()
                .replace(path, current.revision(), RowCodec.encode(new SuspectRow(crashes, System.currentTimeMillis())))
                .build();
        member.get().submit(transaction, outcome -> {
            if (!outcome.committed()) {
                control.schedule(() -> record(path), SUSPECT_WINDOW_MILLIS / 10);
            }
        });
    }
}
