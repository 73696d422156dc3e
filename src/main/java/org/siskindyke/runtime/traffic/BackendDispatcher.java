package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.siskindyke.kernel.balance.TargetLoadReport;
import org.siskindyke.kernel.call.AdmissionQueue;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.ServiceTimeEstimator;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.EventRateLimiter;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Headers;
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.runtime.call.SliceMeter;

/**
 * The only way to the backend server beside this router: admits calls to its slots, sends them while it holds their
 * keys and tells what became of them. Confined to the traffic loop.
 */
public final class BackendDispatcher {
    /** Longest wait of a call for a grant that this router's own backend server is about to get: two heartbeats. */
    private static final long GRANT_WAIT_MILLIS = 1_500;
    /** How long an answer may come after the deadline that the backend server was told. */
    private static final long LATE_ANSWER_MILLIS = 150;
    /** How long a non-idempotent request may stay with the backend server after its deadline. */
    private static final long STRAY_MILLIS = 5_000;
    /** Lost answers that are logged in each second. */
    private static final int LOSSES_PER_SECOND = 20;
    /** When a refused caller may come back at the soonest. */
    private static final long LEAST_RETRY_AFTER_MILLIS = 100;

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final CallDialect dialect;
    private final SliceMeter meter;
    private final BiPredicate<ServiceName, SliceRef> owns;
    private final Runnable onUnreachable;
    private final EventLog log;
    private final EventRateLimiter lossRate = new EventRateLimiter(LOSSES_PER_SECOND);
    private final ServiceTimeEstimator times = new ServiceTimeEstimator();
    private final AdmissionQueue queue = new AdmissionQueue(0, times);
    private final List<Task> parked = new ArrayList<>();
    private final Set<String> running = new HashSet<>();
    private volatile LocalTargetInfo target;
    private HttpClientPool pool;
    private boolean accepting;
    private BitSet granted = new BitSet();
    private long holdEndMillis;
    private long lastAnswerMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a gate without a backend server.
     *
     * @param traffic the loop
     * @param clock the clock
     * @param dialect header fields towards the backend server
     * @param meter counts calls by slice
     * @param owns tells whether this router owns a slice as far as it knows
     * @param onUnreachable runs when the backend server refuses connections
     * @param log takes the causes of lost answers
     */
    public BackendDispatcher(
            TrafficLoop traffic,
            MonotonicClock clock,
            CallDialect dialect,
            SliceMeter meter,
            BiPredicate<ServiceName, SliceRef> owns,
            Runnable onUnreachable,
            EventLog log) {
        this.traffic = traffic;
        this.clock = clock;
        this.dialect = dialect;
        this.meter = meter;
        this.owns = owns;
        this.onUnreachable = onUnreachable;
        this.log = log;
    }

    /** Takes over what the backend server announces; another name or address ends what was sent to the one before. */
    public void setTarget(LocalTargetInfo announced) {
        LocalTargetInfo before = target;
        target = announced;
        queue.resize(announced.slots());
        if (before == null
                || !before.name().equals(announced.name())
                || !before.address().equals(announced.address())) {
            granted = new BitSet();
            if (pool != null) {
                pool.close();
            }
            pool = new HttpClientPool(
                    traffic, clock, announced.address(), announced.connections(), dialect::answeredRequestId);
        }
    }

    /** Lets calls in, or refuses new ones and those that wait. */
    public void setAccepting(boolean accept) {
        accepting = accept;
        if (!accept) {
            queue.refuseAll(Refusal.LEAVING);
        }
    }

    /** Takes over what the backend server holds now, and until when at most. */
    public void setGrants(BitSet slices, long endMillis) {
        granted = slices;
        holdEndMillis = endMillis;
        List<Task> waiting = List.copyOf(parked);
        parked.clear();
        waiting.forEach(Task::enter);
    }

    /** Takes away what the backend server is about to release. */
    public void retainGrants(BitSet slices) {
        granted.and(slices);
    }

    /** Returns the slots of the target of a service; for any thread. */
    public OptionalInt slots(ServiceName service) {
        LocalTargetInfo present = target;
        return present != null && present.service().equals(service)
                ? OptionalInt.of(present.slots())
                : OptionalInt.empty();
    }

    /** Returns the backend server, or null. */
    public LocalTargetInfo target() {
        return target;
    }

    /** Returns when the backend server last gave a whole answer. */
    public long lastAnswerMillis() {
        return lastAnswerMillis;
    }

    /** Tells whether the backend server is at work on a request. */
    boolean isRunning(String requestId) {
        return running.contains(requestId);
    }

    /** Returns the slots in use. */
    public int slotsUsed() {
        return queue.used();
    }

    /** Returns the calls that wait for a slot or for a grant. */
    public int waiting() {
        return queue.waiting() + parked.size();
    }

    /** Returns the calls that wait or run. */
    public int unanswered() {
        return slotsUsed() + waiting();
    }

    /** Refuses calls that have waited for too long. Called every few tens of milliseconds. */
    public void tick() {
        long nowMillis = clock.nowMillis();
        queue.refusePredictedTimeouts(nowMillis);
        List<Task> late = parked.stream()
                .filter(t -> nowMillis >= t.parkedUntilMillis || !t.isOwned())
                .toList();
        parked.removeAll(late);
        late.forEach(t -> t.refuse(t.isOwned() ? Refusal.NOT_GRANTED : Refusal.NOT_OWNER, GRANT_WAIT_MILLIS / 2));
    }

    /**
     * Takes a call.
     *
     * @param call the call
     * @param onReply takes what becomes of it, possibly before this method returns
     * @return gives it up; a non-idempotent call that runs goes on
     */
    Cancellable submit(Call call, Consumer<Reply> onReply) {
        Task task = new Task(call, onReply);
        task.enter();
        return task;
    }

    private TargetLoadReport report() {
        return new TargetLoadReport(
                queue.slots(), queue.used(), queue.waiting(), (int) times.averageMillis(clock.nowMillis()));
    }

    /** One call on its way to the backend server. */
    private final class Task implements Cancellable, HttpClientPool.Outcome {
        private final Call call;
        private final Consumer<Reply> onReply;
        private final AdmissionQueue.Entry entry;
        private Cancellable sending;
        private Cancellable timer = Cancellable.NONE;
        private long sentMillis;
        private long parkedUntilMillis;
        private boolean holdsSlot;
        private boolean ended;

        private Task(Call call, Consumer<Reply> onReply) {
            this.call = call;
            this.onReply = onReply;
            this.entry =
                    new AdmissionQueue.Entry(call.scheduling(), call.deadlineMillis(), this::onAdmitted, this::refuse);
        }

        private boolean isOwned() {
            return call.slice() != null && owns.test(call.service(), call.slice());
        }

        private void enter() {
            LocalTargetInfo present = target;
            if (present == null || !present.service().equals(call.service())) {
                refuse(call.slice() == null ? Refusal.NO_TARGET : Refusal.NOT_OWNER, LEAST_RETRY_AFTER_MILLIS);
            } else if (!accepting) {
                refuse(Refusal.LEAVING, LEAST_RETRY_AFTER_MILLIS);
            } else if (call.slice() == null || isGranted()) {
                queue.submit(entry, clock.nowMillis());
            } else if (isOwned()) {
                park();
            } else {
                refuse(Refusal.NOT_OWNER, LEAST_RETRY_AFTER_MILLIS);
            }
        }

        private boolean isGranted() {
            return granted.get(call.slice().index()) && clock.nowMillis() < holdEndMillis;
        }

        private void park() {
            long nowMillis = clock.nowMillis();
            if (parkedUntilMillis == 0) {
                parkedUntilMillis = nowMillis + Math.min(GRANT_WAIT_MILLIS, patienceMillis(nowMillis));
            }
            parked.add(this);
        }

        /** Returns how long to wait; a call that a running one waits for takes that one down when it is refused. */
        private long patienceMillis(long nowMillis) {
            long leftMillis = call.remainingMillis(nowMillis);
            double ownMillis = times.expectedMillis(call.scheduling().kind(), nowMillis);
            return call.scheduling().nested() ? (long) (leftMillis - ownMillis) : leftMillis / 2;
        }

        private void onAdmitted() {
            holdsSlot = true;
            running.add(call.id());
            long nowMillis = clock.nowMillis();
            if (call.slice() != null && !isGranted()) {
                leaveSlot();
                refuse(Refusal.MOVING, LEAST_RETRY_AFTER_MILLIS);
                return;
            }
            long remainingMillis = call.remainingMillis(nowMillis);
            sentMillis = nowMillis;
            timer = traffic.schedule(this::onDeadline, remainingMillis + LATE_ANSWER_MILLIS);
            sending = pool.send(request(remainingMillis), call.id(), this);
        }

        private FullHttpRequest request(long remainingMillis) {
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(call.method()),
                    call.target(),
                    Unpooled.wrappedBuffer(call.body()));
            for (Header header : call.headers()) {
                request.headers().add(header.name(), header.value());
            }
            for (Header header : dialect.backendHeaders(target.name(), call, remainingMillis)) {
                request.headers().set(header.name(), header.value());
            }
            if (call.body().length > 0 || !call.method().equals(HttpMethod.GET.name())) {
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            }
            return request;
        }

        @Override
        public void onAnswer(int status, List<Header> headers, byte[] body) {
            long nowMillis = clock.nowMillis();
            boolean notRun = dialect.isNotRun(status, headers);
            if (!notRun) {
                lastAnswerMillis = nowMillis;
                times.onEnded(call.scheduling().kind(), nowMillis - sentMillis, nowMillis);
                if (call.slice() != null) {
                    meter.onCall(call.slice(), TimeUnit.MILLISECONDS.toNanos(nowMillis - sentMillis));
                }
            }
            leaveSlot();
            if (notRun) {
                end(Reply.notRun(Refusal.TARGET_REFUSED, LEAST_RETRY_AFTER_MILLIS));
            } else if (dialect.isGenuine(status, headers)) {
                end(Reply.answer(status, dialect.returnedHeaders(Headers.endToEnd(headers)), body));
            } else {
                logLoss("a success without a signature");
                end(Reply.mayHaveRun(Refusal.ANSWER_LOST));
            }
        }

        @Override
        public void onLost(boolean sent, String cause) {
            leaveSlot();
            logLoss(cause);
            if (!sent) {
                onUnreachable.run();
            }
            end(
                    sent
                            ? Reply.mayHaveRun(Refusal.ANSWER_LOST)
                            : Reply.notRun(Refusal.TARGET_UNREACHABLE, LEAST_RETRY_AFTER_MILLIS));
        }

        private void logLoss(String cause) {
            if (lossRate.tryAcquire(clock.nowMillis())) {
                log.event("target-answer-lost", "request", call.id(), "target", target.name(), "cause", cause);
            }
        }

        private void onDeadline() {
            if (call.idempotent()) {
                sending.cancel();
                leaveSlot();
            } else if (holdsSlot) {
                timer = traffic.schedule(this::onStray, STRAY_MILLIS);
            }
            end(Reply.mayHaveRun(Refusal.DEADLINE));
        }

        private void onStray() {
            if (holdsSlot) {
                sending.cancel();
                leaveSlot();
            }
        }

        private void refuse(Refusal cause, long retryAfterMillis) {
            end(Reply.notRun(cause, Math.max(LEAST_RETRY_AFTER_MILLIS, retryAfterMillis)));
        }

        private void leaveSlot() {
            if (holdsSlot) {
                holdsSlot = false;
                running.remove(call.id());
                timer.cancel();
                queue.releaseSlot(clock.nowMillis());
            }
        }

        private void end(Reply reply) {
            if (!ended) {
                ended = true;
                onReply.accept(reply.withLoad(report()));
            }
        }

        @Override
        public void withdraw() {
            if (parked.remove(this) || queue.remove(entry)) {
                refuse(Refusal.LEAVING, LEAST_RETRY_AFTER_MILLIS);
            }
        }

        @Override
        public void cancel() {
            if (ended) {
                return;
            }
            ended = true;
            parked.remove(this);
            queue.remove(entry);
            if (holdsSlot && call.idempotent()) {
                sending.cancel();
                leaveSlot();
            }
        }
    }
}
