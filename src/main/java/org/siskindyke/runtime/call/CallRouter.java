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
 * Sends each call to the router beside the backend server that must run it, and tries again where that is safe.
 *
 * <p>A call that did not run waits a short while for its key to get an owner. A call that may have run is sent again
 * only
 * if it is idempotent, and only within the service's retry budget.
 */
public final class CallRouter {
    private static final long FIRST_WAIT_MILLIS = 5;
    private static final long LAST_WAIT_MILLIS = 40;
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

    /** Passes a call to another router; the result never fails. */
    @FunctionalInterface
    public interface Forwarder {
        /** Sends the call and returns what became of it. */
        Single<Reply> forward(Call call, MemberRow to);
    }

    /**
     * Creates a router of calls.
     *
     * @param clock the clock
     * @param state gives the present member's state
     * @param dispatcher reaches the backend servers beside this router
     * @param forwarder reaches other routers
     * @param policy chooses targets of undivided services
     * @param refreshView asks for changes of the table
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
     * @return what became of it; never fails
     */
    public Single<Reply> route(Call call, ServiceDocument document) {
        RetryBudget budget = budgets.computeIfAbsent(
                call.service(), s -> new RetryBudget(document.calls().retryBudgetPercent()));
        budget.onFirstAttempt();
        long waitUntilMillis = Math.min(
                call.deadlineMillis(), clock.nowMillis() + document.calls().queueMillis());
        return new Routing(call, budget, waitUntilMillis).attempt();
    }

    /** Forgets what was seen of members that have ended. */
    public void forget(MemberId member) {
        loads.remove(member);
    }

    private TargetLoad load(MemberId member) {
        return loads.computeIfAbsent(member, m -> new TargetLoad());
    }

    /** The attempts of one call. */
    private final class Routing {
        private final Call call;
        private final RetryBudget budget;
        private final long waitUntilMillis;
        private int attempts;
        private long waitMillis = FIRST_WAIT_MILLIS;
        private Verdict verdict = Verdict.NOT_RUN;
        private SliceOwner hint;

        private Routing(Call call, RetryBudget budget, long waitUntilMillis) {
            this.call = call;
            this.budget = budget;
            this.waitUntilMillis = waitUntilMillis;
        }

        private Single<Reply> attempt() {
            return Single.defer(() -> {
                attempts++;
                long startMillis = clock.nowMillis();
                MemberServingState present = state.get();
                Optional<MemberRow> to = choose(present);
                if (to.isEmpty()) {
                    Refusal refusal = call.slice() == null ? Refusal.NO_TARGET : Refusal.NO_OWNER;
                    Reply reply = Reply.notRun(refusal, NO_OWNER_RETRY_MILLIS);
                    return conclude(Route.REFUSE, null, reply, startMillis);
                }
                MemberRow member = to.get();
                boolean local = member.id().equals(present.self());
                TargetLoad load = load(member.id());
                load.onSent();
                Single<Reply> sent = local ? dispatcher.dispatch(call, present) : forwarder.forward(call, member);
                return sent.beforeCancel(() -> load.onEnded(0, clock.nowMillis()))
                        .flatMap(reply -> {
                            observe(load, reply, startMillis);
                            return conclude(local ? Route.LOCAL : Route.FORWARD, member.id(), reply, startMillis);
                        });
            });
        }

        private Optional<MemberRow> choose(MemberServingState present) {
            if (call.slice() == null) {
                return policy.choose(
                        present.view().members().acceptingMembers(call.service()),
                        CallRouter.this::load,
                        ThreadLocalRandom.current(),
                        clock.nowMillis());
            }
            SliceOwner owner = present.view().ownership().owner(call.slice()).orElse(null);
            if (hint != null && (owner == null || hint.generation() > owner.generation())) {
                owner = hint;
            }
            if (owner == null || owner.member() == null) {
                return Optional.empty();
            }
            return present.view().members().serving(owner.member());
        }

        private void observe(TargetLoad load, Reply reply, long startMillis) {
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

        private Single<Reply> conclude(Route route, MemberId to, Reply reply, long startMillis) {
            long nowMillis = clock.nowMillis();
            DecisionLog.routing(call, attempts, route, to, reply, nowMillis - startMillis);
            verdict = verdict.combine(reply.verdict());
            if (reply.isAnswer() || !reply.refusal().isTransient()) {
                return Single.succeeded(reply.withVerdict(reply.isAnswer() ? Verdict.RAN : verdict));
            }
            boolean mayRetry = reply.verdict() == Verdict.NOT_RUN
                    ? nowMillis + waitMillis < waitUntilMillis && paysFor(reply)
                    : call.idempotent() && call.remainingMillis(nowMillis) > waitMillis && budget.tryRetry();
            if (!mayRetry) {
                return Single.succeeded(reply.withVerdict(verdict));
            }
            return again(reply);
        }

        /** Takes a retry out of the budget where the attempt cost the target something. */
        private boolean paysFor(Reply reply) {
            return reply.refusal() != Refusal.TARGET_REFUSED || budget.tryRetry();
        }

        private Single<Reply> again(Reply reply) {
            if (reply.owner() != null) {
                SliceOwner offered = new SliceOwner(reply.owner(), reply.generation(), 0);
                if (hint == null || offered.generation() > hint.generation()) {
                    hint = offered;
                    refreshView.run();
                    return attempt();
                }
            }
            Duration wait = Duration.ofMillis(waitMillis);
            waitMillis = Math.min(LAST_WAIT_MILLIS, waitMillis * 2);
            return Executors.global().timer(wait).concat(attempt());
        }
    }
}
