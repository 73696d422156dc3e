package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

import org.siskindyke.kernel.balance.ServerLoadTracker;
import org.siskindyke.kernel.balance.TargetLoadReport;
import org.siskindyke.kernel.call.AdmissionCounts;
import org.siskindyke.kernel.call.AdmissionPolicy;
import org.siskindyke.kernel.call.AdmissionQueue;
import org.siskindyke.kernel.call.ArrivalPace;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.ServiceTimeEstimator;
import org.siskindyke.kernel.call.WarmUpPace;
import org.siskindyke.kernel.crash.SuspectAssessment;
import org.siskindyke.kernel.crash.SuspectLane;
import org.siskindyke.kernel.crash.TargetIncarnation;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.CrashGuard;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Headers;
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.runtime.call.SliceMeter;

/**
 * Dispatches all calls that an {@link org.siskindyke.runtime.InstanceRouter} sends to the backend server beside it:
 * admits them to its slots, sends them while their slices are granted to it, and reports their outcome. Confined to the
 * traffic loop, except where a method says otherwise.
 */
public final class BackendDispatcher {
    /**
     * Longest wait of a call for a grant of a slice that this router owns; about two heartbeats of the backend server,
     * which receives its grants in reply to them.
     */
    private static final long MAX_GRANT_WAIT_MILLIS = 1_500;
    /** How long after the deadline sent to the backend server a response is still accepted. */
    private static final long LATE_RESPONSE_GRACE_MILLIS = 150;
    /** How long a non-idempotent request keeps its slot after its caller has been answered at the deadline. */
    private static final long OVERDUE_SLOT_MILLIS = 5_000;
    /** Suspected calls that wait until others have run, at most. */
    private static final int MAX_WAITING_SUSPECTS = 16;
    /** Longest wait of a suspected call until others have run. */
    private static final long MAX_SUSPECT_WAIT_MILLIS = 1_500;
    /** Smallest delay before a retry that a refusal asks the caller for. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    /** Status of a response to a request that the backend server has not counted. */
    private static final int MISDIRECTED_REQUEST = 421;

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final CallDialect dialect;
    private final SliceMeter meter;
    private final BiPredicate<ServiceName, SliceRef> owns;
    private final CrashGuard crashGuard;
    private final TargetObserver observer;
    private final CrashSigns crashSigns;
    private final BackendRequestFactory requests;
    private final DispatchLog log;
    private final SuspectLane<DispatchedCall> suspectLane = new SuspectLane<>(MAX_WAITING_SUSPECTS);
    private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
    private final ServerLoadTracker serverLoad = new ServerLoadTracker();
    private final PacedAdmission admission;
    private final AdmissionQueue queue;
    private final List<DispatchedCall> waitingForGrant = new ArrayList<>();
    /** Number of runs by request id; a request that comes through two routers may run twice at a time. */
    private final Map<String, Integer> runsByRequestId = new HashMap<>();
    /** The calls above, by request id; of several with one id the latest. */
    private final Map<String, Call> runningCalls = new HashMap<>();

    private volatile LocalTargetInfo target;
    private HttpClientPool pool;
    /** Whether the backend server takes new calls. */
    private boolean targetAccepting;
    /** Whether this router is about to stop. */
    private boolean stopping;
    /** Latest deadline of the nested calls that are taken while this router stops. */
    private long nestedUntilMillis;

    private BitSet granted = new BitSet();
    private long grantEndMillis;
    private final Set<DispatchedCall> unanswered = new LinkedHashSet<>();
    private long lastAnswerMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a dispatcher without a backend server.
     *
     * @param traffic the loop
     * @param clock the clock
     * @param dialect defines the header fields towards the backend server
     * @param meter counts calls by slice
     * @param owns returns whether this router owns a slice, to its present knowledge
     * @param policies decide which calls run
     * @param observer receives the signs of a lost or crashed backend server
     * @param log receives the causes of lost responses and refusals of suspected calls
     */
    public BackendDispatcher(
            TrafficLoop traffic,
            MonotonicClock clock,
            CallDialect dialect,
            SliceMeter meter,
            BiPredicate<ServiceName, SliceRef> owns,
            Policies policies,
            TargetObserver observer,
            EventLog log) {
        this.traffic = traffic;
        this.clock = clock;
        this.dialect = dialect;
        this.meter = meter;
        this.owns = owns;
        this.crashGuard = policies.crashGuard();
        this.observer = observer;
        this.crashSigns = new CrashSigns(traffic, clock, policies.crashGuard(), observer);
        this.requests = new BackendRequestFactory(dialect);
        this.admission = new PacedAdmission(traffic, clock, serviceTimes, policies.admission());
        this.queue = admission.queue();
        this.log = new DispatchLog(log, clock);
    }

    /**
     * Decide which calls the backend server runs.
     *
     * @param crashGuard tells which calls may crash it
     * @param admission creates the policy that orders and refuses waiting calls
     */
    public record Policies(
            CrashGuard crashGuard, BiFunction<ServiceTimeEstimator, ArrivalPace, AdmissionPolicy> admission) {}

    /**
     * Replaces the backend server's description. If it has started again or another has taken its place, all grants are
     * dropped and calls that were sent before are reported as lost.
     */
    public void setTarget(LocalTargetInfo announced) {
        LocalTargetInfo previous = target;
        target = announced;
        queue.resize(announced.slots());
        if (previous == null || !previous.isSameIncarnation(announced)) {
            granted = new BitSet();
            admission.onNewIncarnation();
            serverLoad.reset();
            if (pool != null) {
                pool.close();
            }
            pool = new HttpClientPool(
                    traffic,
                    clock,
                    announced.address(),
                    announced.connections(),
                    dialect,
                    log.ofConnections(announced.name()));
        } else {
            pool.limitConnections(announced.connections());
        }
    }

    /**
     * Sets what the backend server takes while it is cold, and until when it is.
     *
     * @param limit the limit on calls; {@link WarmUpPace.Limit#NONE} for none
     * @param coldUntilMillis when the warm-up ends, by the monotonic clock
     */
    public void setWarmUp(WarmUpPace.Limit limit, long coldUntilMillis) {
        admission.setWarmUp(limit, coldUntilMillis);
    }

    /** Returns whether the backend server is cold, so that its calls are spaced. */
    public boolean isCold() {
        return admission.isCold();
    }

    /**
     * Says whether the backend server takes new calls. If not, they are refused, and so are those that wait for a slot.
     * Calls that wait for a grant are then refused when grants arrive or their wait ends.
     */
    public void setTargetAccepting(boolean accepts) {
        targetAccepting = accepts;
        refuseWaiting();
    }

    /**
     * Refuses calls that have not begun, from now on and for good, whatever the backend server's state. Nested calls
     * are still taken if they end in time, since the running calls that wait for them would fail.
     *
     * @param latestDeadlineMillis latest deadline of the nested calls that are taken, by the monotonic clock
     */
    public void startStopping(long latestDeadlineMillis) {
        stopping = true;
        nestedUntilMillis = latestDeadlineMillis;
        refuseWaiting();
    }

    /** Refuses nested calls, too, after {@link #startStopping}. */
    public void refuseNested() {
        nestedUntilMillis = Long.MIN_VALUE;
        refuseWaiting();
    }

    private boolean accepts(Call call) {
        boolean nestedInTime = call.scheduling().nested() && call.deadlineMillis() <= nestedUntilMillis;
        return targetAccepting && (!stopping || nestedInTime);
    }

    /** Refuses the calls that wait for a slot or for other suspected calls and are no longer accepted. */
    private void refuseWaiting() {
        List.copyOf(unanswered).stream()
                .filter(call -> !accepts(call.call) && !waitingForGrant.contains(call))
                .forEach(DispatchedCall::withdraw);
    }

    /**
     * Replaces the backend server's grants and admits calls that wait for them.
     *
     * @param slices indexes of the granted slices; kept, and changed by {@link #retainGrants}
     * @param endMillis when the grants end, by the monotonic clock
     */
    public void setGrants(BitSet slices, long endMillis) {
        granted = slices;
        grantEndMillis = endMillis;
        List<DispatchedCall> waiting = List.copyOf(waitingForGrant);
        waitingForGrant.clear();
        waiting.forEach(DispatchedCall::admit);
    }

    /**
     * Drops the grants of slices that are not in {@code slices}, since the backend server is about to release them.
     */
    public void retainGrants(BitSet slices) {
        granted.and(slices);
    }

    /**
     * Returns the number of slots that the backend server can keep busy within the limit it names; empty where it does
     * not run the service. May be called on any thread.
     */
    public OptionalInt slots(ServiceName service) {
        LocalTargetInfo current = target;
        return current != null && current.service().equals(service)
                ? OptionalInt.of(Math.min(admission.usableSlots(), current.slots()))
                : OptionalInt.empty();
    }

    /** Returns the backend server's description, or null before its first announcement. */
    public LocalTargetInfo target() {
        return target;
    }

    /**
     * Returns when the backend server last sent a complete response to a call that it ran, by the monotonic clock; a
     * time long ago where it has sent none. A refusal without running the call does not count.
     */
    public long lastAnswerMillis() {
        return lastAnswerMillis;
    }

    /** Returns the call that the backend server is running for a request; empty where it runs none. */
    Optional<Call> runningCall(String requestId) {
        return Optional.ofNullable(runningCalls.get(requestId));
    }

    /**
     * Records the end of a nested request.
     *
     * @param parentRequestId id of the request that made it
     * @param refused whether it was refused without running, so that the request that made it fails
     */
    void onNestedEnded(String parentRequestId, boolean refused) {
        Call parent = runningCalls.get(parentRequestId);
        if (parent != null) {
            queue.onNestedEnded(parent.scheduling().kind(), refused, clock.nowMillis());
        }
    }

    /** Returns the decisions of the admission policy. */
    public AdmissionCounts admissionCounts() {
        return queue.counts();
    }

    /** Returns the number of responses that belonged to no awaited request. May be called on any thread. */
    public long responsesDropped() {
        return log.responsesDropped();
    }

    /** Returns the ids of the requests that the backend server runs. */
    public List<String> running() {
        return List.copyOf(runsByRequestId.keySet());
    }

    /** Returns the number of slots in use. */
    public int slotsUsed() {
        return queue.used();
    }

    /** Returns the number of calls that wait for a slot or a grant. */
    public int waiting() {
        return queue.waiting() + waitingForGrant.size() + suspectLane.waiting().size();
    }

    /** Returns the number of calls that wait or run and whose callers wait for them. */
    public int unanswered() {
        return unanswered.size();
    }

    /** Returns the number of calls as above, but for nested ones. */
    public int unansweredCallers() {
        return (int) unanswered.stream()
                .filter(call -> !call.call.scheduling().nested())
                .count();
    }

    /**
     * Refuses calls that wait for a slot and are expected to miss their deadline. Of the calls that wait for a grant,
     * refuses those that have waited too long or whose slice this router no longer owns; also refuses suspected calls
     * that have waited too long. Called every few tens of milliseconds.
     */
    public void tick() {
        long nowMillis = clock.nowMillis();
        admission.tick();
        List<DispatchedCall> expired = waitingForGrant.stream()
                .filter(t -> nowMillis >= t.grantWaitEndMillis || !t.isOwned())
                .toList();
        suspectLane.waiting().stream()
                .filter(suspect -> nowMillis >= suspect.suspectWaitEndMillis)
                .forEach(DispatchedCall::refuseWaitingSuspect);
        waitingForGrant.removeAll(expired);
        expired.forEach(
                t -> t.refuse(t.isOwned() ? Refusal.NOT_GRANTED : Refusal.NOT_OWNER, MAX_GRANT_WAIT_MILLIS / 2));
    }

    /**
     * Admits a call, lets it wait or refuses it.
     *
     * @param call the call
     * @param onReply receives the reply, possibly before this method returns
     * @return cancels the call; a non-idempotent call that has been sent runs on, but its reply is dropped
     */
    Cancellable submit(Call call, Consumer<Reply> onReply) {
        if (call.slice() != null) {
            meter.onArrival(call.slice());
        }
        DispatchedCall dispatched = new DispatchedCall(call, onReply);
        dispatched.admit();
        admission.admit();
        return dispatched;
    }

    private TargetLoadReport report() {
        long nowMillis = clock.nowMillis();
        return new TargetLoadReport(
                queue.slots(),
                queue.used(),
                queue.waiting(),
                (int) serviceTimes.averageMillis(nowMillis),
                admission.intervalMillis(),
                serverLoad.report(nowMillis));
    }

    /** One call, from its admission to its reply. */
    private final class DispatchedCall implements Cancellable, HttpClientPool.ResponseListener {
        private final Call call;
        private final Consumer<Reply> onReply;
        private final AdmissionQueue.Entry entry;
        private Cancellable inFlightRequest;
        private Cancellable timer = Cancellable.NONE;
        private long sentMillis;
        /** When the wait for a grant ends; 0 until the call first waits, and not extended when it waits again. */
        private long grantWaitEndMillis;

        /** When the wait for other suspected calls ends; 0 until the call first waits. */
        private long suspectWaitEndMillis;

        private boolean isInSuspectLane;

        private boolean holdsSlot;
        private boolean ended;

        private DispatchedCall(Call call, Consumer<Reply> onReply) {
            this.call = call;
            this.onReply = onReply;
            this.entry =
                    new AdmissionQueue.Entry(call.scheduling(), call.deadlineMillis(), this::onAdmitted, this::refuse);
            unanswered.add(this);
        }

        private boolean isOwned() {
            return call.slice() != null && owns.test(call.service(), call.slice());
        }

        private void admit() {
            LocalTargetInfo current = target;
            if (current == null || !current.service().equals(call.service())) {
                refuse(call.slice() == null ? Refusal.NO_TARGET : Refusal.NOT_OWNER, MIN_RETRY_AFTER_MILLIS);
            } else if (!accepts(call)) {
                refuse(Refusal.LEAVING, MIN_RETRY_AFTER_MILLIS);
            } else if (call.slice() == null || isGranted()) {
                submitUnlessConvicted();
            } else if (isOwned()) {
                waitForGrant();
            } else {
                refuse(Refusal.NOT_OWNER, MIN_RETRY_AFTER_MILLIS);
            }
        }

        private void submitUnlessConvicted() {
            SuspectAssessment assessment = crashGuard.assess(call);
            if (refuseIfBarred(assessment)) {
                return;
            }
            if (assessment.isSuspected() || call.scheduling().suspected()) {
                enterSuspectLane();
            } else {
                queue.submit(entry, clock.nowMillis());
            }
        }

        /** Refuses the call if, by what is known about its content, it must not run now; returns whether it did. */
        private boolean refuseIfBarred(SuspectAssessment assessment) {
            long retryAfterMillis = crashGuard.retryAfterMillis(call, assessment);
            if (retryAfterMillis == 0) {
                return false;
            }
            log.onSuspectRefused(call, assessment);
            refuse(Refusal.SUSPECTED_OF_CRASHES, retryAfterMillis);
            return true;
        }

        private void enterSuspectLane() {
            long nowMillis = clock.nowMillis();
            switch (suspectLane.enter(this)) {
                case RUN -> {
                    isInSuspectLane = true;
                    queue.submit(entry, nowMillis);
                }
                case WAIT -> {
                    if (suspectWaitEndMillis == 0) {
                        long maxMillis = Math.min(MAX_SUSPECT_WAIT_MILLIS, call.remainingMillis(nowMillis) / 2);
                        suspectWaitEndMillis = nowMillis + maxMillis;
                    }
                }
                default -> refuse(Refusal.QUEUE_FULL, MIN_RETRY_AFTER_MILLIS);
            }
        }

        private void refuseWaitingSuspect() {
            suspectLane.remove(this);
            refuse(Refusal.QUEUE_TIMEOUT, MIN_RETRY_AFTER_MILLIS);
        }

        /** Lets the next suspected call run, unless this one still runs or never was one. */
        private void leaveSuspectLane() {
            if (!holdsSlot) {
                suspectLane.leave(this, DispatchedCall::admit);
            }
        }

        private boolean isGranted() {
            return granted.get(call.slice().index()) && clock.nowMillis() < grantEndMillis;
        }

        private void waitForGrant() {
            long nowMillis = clock.nowMillis();
            if (grantWaitEndMillis == 0) {
                grantWaitEndMillis = nowMillis + Math.min(MAX_GRANT_WAIT_MILLIS, maxGrantWaitMillis(nowMillis));
            }
            waitingForGrant.add(this);
        }

        /**
         * Returns how long the call may wait for a grant. A nested call may use all the time that it does not need to
         * run, since its refusal would fail the running call that waits for it.
         */
        private long maxGrantWaitMillis(long nowMillis) {
            long leftMillis = call.remainingMillis(nowMillis);
            double ownMillis = serviceTimes.expectedMillis(call.scheduling().kind(), nowMillis);
            return call.scheduling().nested() ? (long) (leftMillis - ownMillis) : leftMillis / 2;
        }

        private void onAdmitted() {
            holdsSlot = true;
            runsByRequestId.merge(call.id(), 1, Integer::sum);
            runningCalls.put(call.id(), call);
            long nowMillis = clock.nowMillis();
            if (call.slice() != null && !isGranted()) {
                // The grant was dropped or ended while the call waited for the slot.
                releaseSlot();
                refuse(Refusal.MOVING, MIN_RETRY_AFTER_MILLIS);
                return;
            }
            SuspectAssessment assessment = crashGuard.assess(call);
            if (refuseIfBarred(assessment)) {
                releaseSlot();
            } else if (assessment.isSuspected() && !isInSuspectLane) {
                // A backend server ended under the same content while the call waited for the slot.
                releaseSlot();
                enterSuspectLane();
            } else {
                send(nowMillis);
            }
        }

        private void send(long nowMillis) {
            long remainingMillis = call.remainingMillis(nowMillis);
            sentMillis = nowMillis;
            timer = traffic.schedule(this::onDeadline, remainingMillis + LATE_RESPONSE_GRACE_MILLIS);
            inFlightRequest = pool.send(requests.create(call, target.name(), remainingMillis), call.id(), this);
        }

        @Override
        public void onResponse(int status, List<Header> headers, byte[] body, boolean endedByClose) {
            long nowMillis = clock.nowMillis();
            boolean notRun = dialect.isNotRun(status, headers);
            boolean genuine = dialect.isGenuine(status, headers);
            AnnouncedLimit limit = dialect.limit(headers);
            log.onLimit(limit, target.name());
            if (dialect.isLeaving(headers)) {
                observer.onLeavingAnnounced(new TargetIncarnation(target.name(), target.startMillis()));
            }
            admission.onResponse(limit, !notRun && genuine);
            if (status == MISDIRECTED_REQUEST) {
                admission.onNotCounted(sentMillis);
            }
            ServerLoadTracker.Announcement announced = dialect.serverLoad(headers);
            if (announced != null) {
                serverLoad.onAnnounced(announced, nowMillis);
            }
            if (!notRun) {
                recordCrashSigns(endedByClose);
                lastAnswerMillis = nowMillis;
                serviceTimes.onEnded(call.scheduling().kind(), nowMillis - sentMillis, nowMillis);
                if (call.slice() != null) {
                    meter.onCall(call.slice(), TimeUnit.MILLISECONDS.toNanos(nowMillis - sentMillis));
                }
            }
            releaseSlot();
            if (notRun) {
                end(Reply.notRun(Refusal.TARGET_REFUSED, MIN_RETRY_AFTER_MILLIS));
            } else if (genuine) {
                end(Reply.answer(status, dialect.returnedHeaders(Headers.endToEnd(headers)), body));
            } else {
                log.onAnswerLost(
                        call, target.name(), ResponseLoss.BAD_RESPONSE, "successful response without a signature");
                end(Reply.mayHaveRun(Refusal.ANSWER_LOST));
            }
        }

        private void recordCrashSigns(boolean connectionEnded) {
            if (connectionEnded) {
                crashSigns.onConnectionEnded(call, isInSuspectLane, target.address(), pool);
            } else {
                crashSigns.onAnswered(call);
            }
        }

        @Override
        public void onLost(ResponseLoss loss, String cause) {
            if (loss.isConnectionEnd()) {
                recordCrashSigns(true);
            }
            releaseSlot();
            log.onAnswerLost(call, target.name(), loss, cause);
            if (loss == ResponseLoss.NOT_SENT) {
                observer.onUnreachable();
            }
            end(
                    switch (loss) {
                        case NOT_SENT -> Reply.notRun(Refusal.TARGET_UNREACHABLE, MIN_RETRY_AFTER_MILLIS);
                        case NO_CONNECTION_FREE -> Reply.notRun(Refusal.QUEUE_FULL, MIN_RETRY_AFTER_MILLIS);
                        default -> Reply.mayHaveRun(Refusal.ANSWER_LOST);
                    });
        }

        private void onDeadline() {
            if (call.idempotent()) {
                inFlightRequest.cancel();
                releaseSlot();
            } else if (holdsSlot) {
                timer = traffic.schedule(this::onOverdue, OVERDUE_SLOT_MILLIS);
            }
            end(Reply.mayHaveRun(Refusal.DEADLINE));
        }

        private void onOverdue() {
            if (holdsSlot) {
                inFlightRequest.cancel();
                releaseSlot();
            }
        }

        private void refuse(Refusal cause, long retryAfterMillis) {
            end(Reply.notRun(cause, Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis)));
        }

        private void releaseSlot() {
            if (holdsSlot) {
                holdsSlot = false;
                runsByRequestId.computeIfPresent(call.id(), (id, runs) -> runs == 1 ? null : runs - 1);
                if (!runsByRequestId.containsKey(call.id())) {
                    runningCalls.remove(call.id());
                }
                timer.cancel();
                admission.releaseSlot();
                leaveSuspectLane();
            }
        }

        private void end(Reply reply) {
            if (!ended) {
                ended = true;
                unanswered.remove(this);
                onReply.accept(reply.withLoad(report()));
                leaveSuspectLane();
            }
        }

        @Override
        public void withdraw() {
            if (waitingForGrant.remove(this) || suspectLane.remove(this) || queue.remove(entry)) {
                refuse(Refusal.LEAVING, MIN_RETRY_AFTER_MILLIS);
            }
        }

        @Override
        public boolean mayHaveRun() {
            return holdsSlot;
        }

        @Override
        public void cancel() {
            if (ended) {
                return;
            }
            ended = true;
            unanswered.remove(this);
            waitingForGrant.remove(this);
            suspectLane.remove(this);
            queue.remove(entry);
            leaveSuspectLane();
            if (holdsSlot && call.idempotent()) {
                inFlightRequest.cancel();
                releaseSlot();
            }
        }
    }
}
