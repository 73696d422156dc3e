package org.siskindyke.runtime.call;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.concurrent.api.Single;
import org.siskindyke.kernel.balance.TargetLoad;
import org.siskindyke.kernel.balance.TargetPolicy;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.RetryBudget;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.ownership.SliceOwner;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.DecisionLog;
import org.siskindyke.runtime.DecisionLog.Route;

/**
 * Sends each call to the router beside the backend server that must run it, and retries it where that is safe.
 *
 * <p>Only transient refusals lead to retries. A call that did not run is retried with exponential backoff until its
 * deadline or the end of the service's queue time, so that its key can get an owner meanwhile; if the refusing router
 * names an owner with a higher generation than those named before, the retry starts at once. A call that may have run
 * is retried only if it is idempotent and the service's retry budget allows it.
 */
public final class CallRouter {
    private static final long INITIAL_BACKOFF_MILLIS = 5;
    private static final long MAX_BACKOFF_MILLIS = 40;
    private static final long NO_OWNER_RETRY_MILLIS = 1_000;
    private static final long AVOID_REFUSING_MILLIS = 50;
    private static final long AVOID_UNREACHABLE_MILLIS = 1_000;

    private final MonotonicClock clock;
    private final Supplier<MemberServingState> state;
    private final LocalDispatcher dispatcher;
    private final Forwarder forwarder;
    private final TargetPolicy policy;
    private final Runnable refreshView;
    private final Map<ServiceName, RetryBudget> budgets = new ConcurrentHashMap<>();
    private final Map<MemberId, TargetLoad> loads = new ConcurrentHashMap<>();

    /** Forwards calls to other routers. */
    @FunctionalInterface
    public interface Forwarder {
        /** Sends a call to a member's router and returns its outcome; never fails. */
        Single<Reply> forward(Call call, MemberRow to);
    }

    /**
     * Creates a call router.
     *
     * @param clock the clock
     * @param state returns the serving state of the current member
     * @param dispatcher sends calls to the backend servers beside this router
     * @param forwarder sends calls to other routers
     * @param policy chooses targets of undivided services
     * @param refreshView requests the latest changes of the table
     */
    public CallRouter(
            MonotonicClock clock,
            Supplier<MemberServingState> state,
            LocalDispatcher dispatcher,
            Forwarder forwarder,
            TargetPolicy policy,
            Runnable refreshView) {
        this.clock = clock;
        this.state = state;
        this.dispatcher = dispatcher;
        this.forwarder = forwarder;
        this.policy = policy;
        this.refreshView = refreshView;
    }

    /**
     * Routes a call.
     *
     * @param call the call
     * @param document its service's document
     * @return the outcome, with a verdict that covers all attempts; never fails
     */
    public Single<Reply> route(Call call, ServiceDocument document) {
        RetryBudget budget = budgets.computeIfAbsent(
                call.service(), s -> new RetryBudget(document.calls().retryBudgetPercent()));
        budget.onFirstAttempt();
        long waitUntilMillis = Math.min(
                call.deadlineMillis(), clock.nowMillis() + document.calls().queueMillis());
        return new RoutedCall(call, budget, waitUntilMillis).attempt();
    }

    /** Drops the load statistics of a member that has ended. */
    public void forget(MemberId member) {
        loads.remove(member);
    }

    private TargetLoad load(MemberId member) {
        return loads.computeIfAbsent(member, m -> new TargetLoad());
    }

    /** The state of one call across its attempts. */
    private final class RoutedCall {
        private final Call call;
        private final RetryBudget budget;
        private final long waitUntilMillis;
        private int attempts;
        private long backoffMillis = INITIAL_BACKOFF_MILLIS;
        private Verdict verdict = Verdict.NOT_RUN;
        private SliceOwner ownerHint;

        private RoutedCall(Call call, RetryBudget budget, long waitUntilMillis) {
            this.call = call;
            this.budget = budget;
            this.waitUntilMillis = waitUntilMillis;
        }

        private Single<Reply> attempt() {
            return Single.defer(() -> {
                attempts++;
                long startMillis = clock.nowMillis();
                MemberServingState current = state.get();
                Optional<MemberRow> to = chooseMember(current);
                if (to.isEmpty()) {
                    Refusal refusal = call.slice() == null ? Refusal.NO_TARGET : Refusal.NO_OWNER;
                    Reply reply = Reply.notRun(refusal, NO_OWNER_RETRY_MILLIS);
                    return finishOrRetry(Route.REFUSE, null, reply, startMillis);
                }
                MemberRow member = to.get();
                boolean local = member.id().equals(current.self());
                TargetLoad load = load(member.id());
                load.onSent();
                Single<Reply> sent = local ? dispatcher.dispatch(call, current) : forwarder.forward(call, member);
                return sent.beforeCancel(() -> load.onEnded(0, clock.nowMillis()))
                        .flatMap(reply -> {
                            recordOutcome(load, reply, startMillis);
                            return finishOrRetry(local ? Route.LOCAL : Route.FORWARD, member.id(), reply, startMillis);
                        });
            });
        }

        private Optional<MemberRow> chooseMember(MemberServingState current) {
            if (call.slice() == null) {
                return policy.choose(
                        current.view().members().acceptingMembers(call.service()),
                        CallRouter.this::load,
                        ThreadLocalRandom.current(),
                        clock.nowMillis());
            }
            SliceOwner owner = current.view().ownership().owner(call.slice()).orElse(null);
            if (ownerHint != null && (owner == null || ownerHint.generation() > owner.generation())) {
                owner = ownerHint;
            }
            if (owner == null || owner.member() == null) {
                return Optional.empty();
            }
            return current.view().members().serving(owner.member());
        }

        private void recordOutcome(TargetLoad load, Reply reply, long startMillis) {
            long nowMillis = clock.nowMillis();
            load.onEnded(nowMillis - startMillis, nowMillis);
            if (reply.isAnswer()) {
                return;
            }
            if (reply.refusal() == Refusal.OWNER_UNREACHABLE || reply.refusal() == Refusal.TARGET_UNREACHABLE) {
                load.avoidUntil(nowMillis + AVOID_UNREACHABLE_MILLIS);
            } else if (reply.verdict() == Verdict.NOT_RUN) {
                load.avoidUntil(nowMillis + AVOID_REFUSING_MILLIS);
            }
        }

        private Single<Reply> finishOrRetry(Route route, MemberId to, Reply reply, long startMillis) {
            long nowMillis = clock.nowMillis();
            DecisionLog.routing(call, attempts, route, to, reply, nowMillis - startMillis);
            verdict = verdict.combine(reply.verdict());
            if (reply.isAnswer() || !reply.refusal().isTransient()) {
                return Single.succeeded(reply.withVerdict(reply.isAnswer() ? Verdict.RAN : verdict));
            }
            boolean mayRetry = reply.verdict() == Verdict.NOT_RUN
                    ? nowMillis + backoffMillis < waitUntilMillis && withinRetryBudget(reply)
                    : call.idempotent() && call.remainingMillis(nowMillis) > backoffMillis && budget.tryRetry();
            if (!mayRetry) {
                return Single.succeeded(reply.withVerdict(verdict));
            }
            return retry(reply);
        }

        /** Charges a retry to the budget if the backend server itself refused the call; other refusals are free. */
        private boolean withinRetryBudget(Reply reply) {
            return reply.refusal() != Refusal.TARGET_REFUSED || budget.tryRetry();
        }

        private Single<Reply> retry(Reply reply) {
            if (reply.owner() != null) {
                SliceOwner reportedOwner = new SliceOwner(reply.owner(), reply.generation(), 0);
                if (ownerHint == null || reportedOwner.generation() > ownerHint.generation()) {
                    ownerHint = reportedOwner;
                    refreshView.run();
                    return attempt();
                }
            }
            Duration backoff = Duration.ofMillis(backoffMillis);
            backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
            return Executors.global().timer(backoff).concat(attempt());
        }
    }
}
