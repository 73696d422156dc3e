package org.siskindyke.runtime.call;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

import io.servicetalk.concurrent.SingleSource.Processor;
import io.servicetalk.concurrent.api.Single;
import org.siskindyke.kernel.call.IdempotencyCache.Lookup;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.SliceGate;
import org.siskindyke.kernel.call.SlotQueue;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.crash.SuspectAssessment;
import org.siskindyke.kernel.crash.SuspectLane;
import org.siskindyke.kernel.document.CallRule;
import org.siskindyke.kernel.document.DocumentCatalog.AcceptedDocument;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.ownership.SliceOwner;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.DecisionLog;

import static io.servicetalk.concurrent.api.Processors.newSingleProcessor;
import static io.servicetalk.concurrent.api.SourceAdapters.fromSource;

/**
 * Sends calls to the backend servers beside this router; all calls to the attached targets pass through it.
 *
 * <p>The checks of a call run in this order: whether its service has a target here, which must accept new work if the
 * service is undivided, suspected crashes, lease and ownership, the slice's gate, duplicates by Idempotency-Key, the
 * target's slots, and, right before the call is sent, its deadline and once more lease and ownership, since they may
 * have changed while the call waited for a slot.
 */
public final class LocalDispatcher {
    private static final long MOVING_RETRY_MILLIS = 10;
    private static final long OWNERSHIP_RETRY_MILLIS = 50;
    private static final long QUEUE_RETRY_MILLIS = 200;

    private final MonotonicClock clock;
    private final CallObserver observer;
    private final CrashGuard crashGuard;
    private final DuplicateExecutionGuard duplicateGuard;
    private final Map<ServiceName, LocalTarget> targets = new ConcurrentHashMap<>();
    private volatile SliceMeter meter;

    /**
     * Creates a dispatcher without targets.
     *
     * @param clock the clock
     * @param epochMillis returns the wall-clock time, in milliseconds since the epoch
     * @param observer is notified before each call is sent and after it has ended
     * @param crashGuard tells which calls may crash backend servers
     */
    public LocalDispatcher(
            MonotonicClock clock, LongSupplier epochMillis, CallObserver observer, CrashGuard crashGuard) {
        this.clock = clock;
        this.observer = observer;
        this.crashGuard = crashGuard;
        this.duplicateGuard = new DuplicateExecutionGuard(clock, epochMillis);
    }

    /** Sets the meter that records calls by slice; none is recorded before. */
    public void setMeter(SliceMeter newMeter) {
        meter = newMeter;
    }

    /** Registers a target; closes the previous target of its service. */
    public void attach(LocalTarget target) {
        LocalTarget previous = targets.put(target.announcement().service(), target);
        if (previous != null) {
            previous.close();
        }
    }

    /** Removes and closes the target of a service, if there is one. */
    public void detach(ServiceName service) {
        LocalTarget previous = targets.remove(service);
        if (previous != null) {
            previous.close();
        }
    }

    /** Returns the target of a service, or empty if none is beside this router. */
    public Optional<LocalTarget> target(ServiceName service) {
        return Optional.ofNullable(targets.get(service));
    }

    /** Returns the targets of all services. */
    public Iterable<LocalTarget> targets() {
        return targets.values();
    }

    /** Refuses calls that have waited too long for a slot, and drops Idempotency-Keys older than the retry window. */
    public void expire(MemberServingState state) {
        long nowMillis = clock.nowMillis();
        for (LocalTarget target : targets.values()) {
            target.slots().expire(nowMillis);
            state.view()
                    .documents()
                    .get(target.announcement().service())
                    .ifPresent(a -> target.idempotencyCache()
                            .expire(nowMillis - a.document().calls().resendWindowSeconds() * 1_000L));
        }
    }

    /**
     * Runs a call at the backend server beside this router, or refuses it.
     *
     * @param call the call
     * @param state the serving state of the current member
     * @return the outcome; never fails
     */
    public Single<Reply> dispatch(Call call, MemberServingState state) {
        return Single.defer(() -> admit(call, state));
    }

    private Single<Reply> admit(Call call, MemberServingState state) {
        LocalTarget target = targets.get(call.service());
        Optional<AcceptedDocument> accepted = state.view().documents().get(call.service());
        if (target == null || accepted.isEmpty() || !target.isAccepting() && call.slice() == null) {
            return refuse(Refusal.NO_TARGET, 0);
        }
        SuspectAssessment assessment = crashGuard.assess(call);
        long retryAfterMillis = crashGuard.retryAfterMillis(call, assessment);
        if (retryAfterMillis > 0) {
            DecisionLog.suspectRefused(call, assessment);
            return refuse(Refusal.SUSPECTED_OF_CRASHES, retryAfterMillis);
        }
        Optional<Reply> notOwner = checkOwnership(call, state);
        if (notOwner.isPresent()) {
            return Single.succeeded(notOwner.get());
        }
        SliceGate gate = call.slice() == null ? null : state.gate(call.slice());
        if (gate != null && !gate.tryEnter()) {
            return refuse(Refusal.MOVING, MOVING_RETRY_MILLIS);
        }
        Admission admission = new Admission(
                call, state, target, gate, accepted.get().document().calls());
        if (assessment.isSuspected() && target.suspectLane().enter(call) != SuspectLane.Entry.RUN) {
            return admission.refuse(Refusal.QUEUE_FULL);
        }
        return admission.start();
    }

    private Optional<Reply> checkOwnership(Call call, MemberServingState state) {
        if (!state.hasLease()) {
            return Optional.of(Reply.notRun(Refusal.NO_LEASE, OWNERSHIP_RETRY_MILLIS));
        }
        if (call.slice() == null || state.usableOwnership(call.slice()).isPresent()) {
            return Optional.empty();
        }
        SliceOwner owner = state.view().ownership().owner(call.slice()).orElse(null);
        Reply refusal = Reply.notRun(Refusal.NOT_OWNER, OWNERSHIP_RETRY_MILLIS);
        return Optional.of(owner == null ? refusal : refusal.withOwner(owner.member(), owner.generation()));
    }

    private static Single<Reply> refuse(Refusal refusal, long retryAfterMillis) {
        return Single.succeeded(Reply.notRun(refusal, retryAfterMillis));
    }

    /** A call that has passed the slice's gate and waits for, or occupies, one of the target's slots. */
    private final class Admission implements SlotQueue.Waiter {
        private final Call call;
        private final MemberServingState state;
        private final LocalTarget target;
        private final SliceGate gate;
        private final CallRule rule;
        private final long waitUntilMillis;
        private final Processor<Reply, Reply> outcome = newSingleProcessor();

        private Admission(Call call, MemberServingState state, LocalTarget target, SliceGate gate, CallRule rule) {
            this.call = call;
            this.state = state;
            this.target = target;
            this.gate = gate;
            this.rule = rule;
            this.waitUntilMillis = Math.min(call.deadlineMillis(), clock.nowMillis() + rule.queueMillis());
        }

        private Single<Reply> start() {
            if (!usesIdempotencyCache()) {
                target.slots().submit(this, clock.nowMillis());
                return fromSource(outcome);
            }
            Lookup<Reply> lookup =
                    target.idempotencyCache().begin(call.slice(), call.idempotencyKey(), clock.nowMillis());
            switch (lookup.kind()) {
                case FIRST -> submitUnlessDuplicate();
                case RUNNING -> finish(Reply.mayHaveRun(Refusal.DUPLICATE_RUNNING), false);
                case ANSWERED -> finish(lookup.answer(), false);
                default -> finish(Reply.mayHaveRun(Refusal.DUPLICATE_UNKNOWN), false);
            }
            return fromSource(outcome);
        }

        private void submitUnlessDuplicate() {
            long evictedStartMillis = target.idempotencyCache().latestEvictedStartMillis(call.slice());
            if (duplicateGuard.isSafeToRun(call, state, evictedStartMillis)) {
                target.slots().submit(this, clock.nowMillis());
            } else {
                finish(Reply.mayHaveRun(Refusal.DUPLICATE_UNKNOWN), true);
            }
        }

        /** Refuses the call before it has started. */
        private Single<Reply> refuse(Refusal refusal) {
            finish(Reply.notRun(refusal, QUEUE_RETRY_MILLIS), false);
            return fromSource(outcome);
        }

        private boolean usesIdempotencyCache() {
            return !call.idempotent() && call.idempotencyKey() != null;
        }

        @Override
        public long waitUntilMillis() {
            return waitUntilMillis;
        }

        @Override
        public void onRefused(Refusal refusal) {
            finish(Reply.notRun(refusal, QUEUE_RETRY_MILLIS), usesIdempotencyCache());
        }

        @Override
        public void onAdmitted() {
            long nowMillis = clock.nowMillis();
            if (call.remainingMillis(nowMillis) <= 0) {
                releaseSlotAndFinish(Reply.notRun(Refusal.DEADLINE, 0));
                return;
            }
            Optional<Reply> notOwner = checkOwnership(call, state);
            if (notOwner.isPresent()) {
                releaseSlotAndFinish(notOwner.get());
                return;
            }
            long generation = call.slice() == null
                    ? 0
                    : state.view().ownership().owner(call.slice()).orElseThrow().generation();
            send(generation, nowMillis);
        }

        private void send(long generation, long nowMillis) {
            long leaseEndMillis = state.leaseEndMillis();
            long startNanos = System.nanoTime();
            state.onCallStarted();
            observer.onDispatch(call, state, generation, leaseEndMillis, nowMillis);
            BackendClient.Grant grant = new BackendClient.Grant(state.self(), generation, leaseEndMillis);
            target.client()
                    .send(call, grant, call.remainingMillis(nowMillis))
                    .subscribe(reply -> onReply(reply, nowMillis, startNanos));
        }

        private void onReply(Reply reply, long sentMillis, long startNanos) {
            state.onCallEnded();
            if (call.slice() != null && meter != null) {
                meter.onCall(call.slice(), System.nanoTime() - startNanos);
            }
            observer.onReply(call, target, reply);
            Reply checked = reply;
            if (reply.verdict() == Verdict.RAN && !call.idempotent() && !state.hasLease()) {
                checked = Reply.mayHaveRun(Refusal.LEASE_LAPSED);
            }
            leaveSuspectLane();
            target.slots().releaseSlot(clock.nowMillis());
            updateIdempotencyCache(checked);
            if (gate != null) {
                leaveGate(checked, sentMillis);
            }
            outcome.onSuccess(checked);
        }

        private void leaveSuspectLane() {
            // No request waits in the lane of this path.
            target.suspectLane().leave(call, waiting -> {});
        }

        private void leaveGate(Reply reply, long sentMillis) {
            if (reply.verdict() == Verdict.MAY_HAVE_RUN) {
                gate.leaveUnfinished(sentMillis + rule.timeoutMillis());
            } else {
                gate.leave();
            }
        }

        private void updateIdempotencyCache(Reply reply) {
            if (!usesIdempotencyCache()) {
                return;
            }
            if (reply.verdict() == Verdict.NOT_RUN) {
                target.idempotencyCache().forget(call.slice(), call.idempotencyKey());
            } else {
                target.idempotencyCache()
                        .complete(call.slice(), call.idempotencyKey(), reply.isAnswer() ? reply : null);
            }
        }

        private void releaseSlotAndFinish(Reply reply) {
            target.slots().releaseSlot(clock.nowMillis());
            finish(reply, usesIdempotencyCache());
        }

        private void finish(Reply reply, boolean registeredInCache) {
            if (registeredInCache) {
                target.idempotencyCache().forget(call.slice(), call.idempotencyKey());
            }
            leaveSuspectLane();
            if (gate != null) {
                gate.leave();
            }
            outcome.onSuccess(reply);
        }
    }
}
