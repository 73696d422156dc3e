package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.siskindyke.kernel.balance.ReportedTargetLoad;
import org.siskindyke.kernel.call.ExpectedReturns;
import org.siskindyke.kernel.call.FullTargets;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.crash.CrashSuspects;
import org.siskindyke.kernel.crash.SuspectAssessment;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.route.Route;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.CrashGuard;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Reply;

/**
 * Sends one caller's request to targets, retries it within its limits and returns the response. Confined to the
 * traffic loop.
 */
final class RequestAttempts implements Cancellable {
    /** Retry-After of a refusal where there is no owner, no target or no configuration yet. */
    static final long NO_OWNER_RETRY_MILLIS = 700;

    /**
     * Retry-After of a refusal where all servers are barred by an operator's order or the route, until the operator
     * changes that; it only bounds the rate at which callers ask again.
     */
    private static final long BARRED_RETRY_MILLIS = 2_000;

    static final int UNAVAILABLE = 503;

    /** Longest wait of a call for an owner of its slice or for a target; about the duration of a planned move. */
    private static final long MAX_TARGET_WAIT_MILLIS = 1_000;
    /** Delay after which a waiting call checks again for an owner or a target. */
    private static final long TARGET_POLL_MILLIS = 40;

    /** Delay of a retry after a lost answer, in which a crash of the target becomes known to other routers. */
    private static final long RETRY_AFTER_LOSS_MILLIS = 50;

    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    /** How long a target that could not be reached is avoided while there are others. */
    private static final long UNREACHABLE_AVOID_MILLIS = 1_000;
    /** How long a target that refused a call is avoided while there are others. */
    private static final long REFUSED_AVOID_MILLIS = 60;
    /** Number of full targets after which a request is refused; each attempt costs two routers bandwidth and time. */
    private static final int MAX_FULL_TARGETS = 3;
    /** Time that must be left before the deadline for another attempt. */
    private static final long MIN_ATTEMPT_MILLIS = 60;

    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int SERVER_ERROR = 500;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final byte[] NO_BODY = {};

    private final Context context;
    private final MonotonicClock clock;
    private final String requestId;
    private final HttpExchange.Responder responder;
    private final long configurationVersion;
    private final long startMillis;
    /** When the caller's first attempt was read, where this one returns after a refusal; else as above. */
    private long firstMillis;

    private final Set<MemberId> tried = new HashSet<>();
    private boolean divided;
    private Route route;
    private ServiceName service;
    private Call call;
    private int attemptCount;
    /** Attempts that reached, or may have reached, a backend server; {@link Route#maxAttempts} limits them. */
    private int backendAttempts;

    private int fullTargets;
    /** The shortest delay after which one of these targets expects to have capacity. */
    private long capacityDelayMillis = Long.MAX_VALUE;

    /** Backend servers that, as far as known before the first attempt, have ended while they ran this request. */
    private int knownCrashes;
    /** Attempts whose answers were lost. */
    private int lostAnswers;

    private Verdict verdict = Verdict.NOT_RUN;
    private Cancellable inFlightAttempt = Cancellable.NONE;
    private Cancellable deadlineTimer = Cancellable.NONE;
    private Cancellable waitTimer = Cancellable.NONE;
    private MemberId lastMember;
    private Reply lastFailure;
    private boolean ended;

    /**
     * Creates a request that has not been sent.
     *
     * @param context the objects that all requests share
     * @param requestId the id of the request; null where the caller sent none
     * @param responder receives the response
     * @param configurationVersion the version of the configuration that decides about it; 0 for none
     */
    RequestAttempts(Context context, String requestId, HttpExchange.Responder responder, long configurationVersion) {
        this.context = context;
        this.configurationVersion = configurationVersion;
        this.clock = context.clock();
        this.requestId = requestId;
        this.responder = responder;
        this.startMillis = clock.nowMillis();
        this.firstMillis = startMillis;
    }

    /** Returns when the request was read, by the monotonic clock. */
    long startMillis() {
        return startMillis;
    }

    /** Records that the caller returns after a refusal of an attempt that was read at {@code earlierMillis}. */
    void setFirstMillis(long earlierMillis) {
        firstMillis = earlierMillis;
    }

    /** Returns when the caller's first attempt was read, by the monotonic clock. */
    long firstMillis() {
        return firstMillis;
    }

    /** Returns the call; null before {@link #start}. */
    Call call() {
        return call;
    }

    /** Makes the first attempt. */
    void start(Route chosen, Call newCall, boolean isDivided) {
        route = chosen;
        service = newCall.service();
        call = newCall;
        divided = isDivided;
        knownCrashes = context.crashGuard().assess(call).crashed().size();
        context.budgets().onRequest(service, startMillis);
        deadlineTimer = context.traffic().schedule(this::onDeadline, call.deadlineMillis() - startMillis);
        long fullMillis = knownFullMillis();
        if (fullMillis > 0) {
            refuse(Refusal.QUEUE_FULL, UNAVAILABLE, fullMillis);
        } else {
            startAttempt();
        }
    }

    /**
     * Returns for how long all targets are known to be full for a new request, under ranked admission; else 0. A nested
     * request and one that returns after a refusal are sent in any case.
     */
    private long knownFullMillis() {
        boolean isNew = !call.scheduling().nested() && !call.scheduling().returning();
        return context.rankedAdmission() && !divided && isNew
                ? context.fullTargets()
                        .fullForMillis(
                                route.name(), () -> context.targets().acceptingIds(service, startMillis), startMillis)
                : 0;
    }

    private void startAttempt() {
        if (ended) {
            return;
        }
        Optional<Refusal> barrier = context.targets().barrier(route, service);
        if (barrier.isPresent()) {
            endBarred(barrier.get());
            return;
        }
        SuspectAssessment assessment = context.crashGuard().assess(call);
        if (assessment.isConvicted()) {
            refuse(Refusal.SUSPECTED_OF_CRASHES, statusOf(verdict), assessment.retryAfterMillis());
        } else if (divided) {
            sendToOwner();
        } else if (assessment.isOnTrial()) {
            sendToTrialTarget();
        } else {
            sendToAnyTarget();
        }
    }

    private void sendToOwner() {
        Optional<MemberRow> owner =
                call.slice() == null ? Optional.empty() : context.targets().owner(call.slice(), clock.nowMillis());
        if (owner.isEmpty()) {
            waitForTarget(Refusal.NO_OWNER);
        } else if (!context.targets().permits(route, owner.get())) {
            endBarred(Refusal.REGION_NOT_ALLOWED);
        } else {
            send(owner.get(), false);
        }
    }

    private void endBarred(Refusal cause) {
        if (lastFailure == null) {
            refuse(cause, statusOf(verdict), BARRED_RETRY_MILLIS);
        } else {
            conclude(lastFailure);
        }
    }

    @Override
    public void withdraw() {
        if (inFlightAttempt == Cancellable.NONE) {
            refuse(Refusal.LEAVING, statusOf(verdict), 0);
        } else {
            inFlightAttempt.withdraw();
        }
    }

    /**
     * Makes another attempt after a short delay, when the slice may have an owner or the undivided service a target.
     * Refuses the request once the longest wait, counted from its start, is over. A nested request may wait for more of
     * its time than others, since its refusal would fail the running call that waits for it.
     */
    private void waitForTarget(Refusal cause) {
        long nowMillis = clock.nowMillis();
        long totalMillis = call.deadlineMillis() - startMillis;
        long maxWaitMillis = call.scheduling().nested() ? totalMillis - MIN_ATTEMPT_MILLIS : totalMillis / 2;
        long untilMillis = startMillis + Math.min(MAX_TARGET_WAIT_MILLIS, maxWaitMillis);
        if (nowMillis + TARGET_POLL_MILLIS > untilMillis) {
            refuse(cause, statusOf(verdict), NO_OWNER_RETRY_MILLIS);
            return;
        }
        waitTimer = context.traffic().schedule(this::startAttempt, TARGET_POLL_MILLIS);
    }

    private void sendToAnyTarget() {
        long nowMillis = clock.nowMillis();
        long leftMillis = call.scheduling().objectiveMillis() - nowMillis;
        Optional<TargetSelector.Choice> chosen = context.targets().choose(route, service, tried, leftMillis, nowMillis);
        if (chosen.isEmpty()) {
            endWithoutTarget();
            return;
        }
        tried.add(chosen.get().member().id());
        send(chosen.get().member(), chosen.get().hasAlternatives() && fullTargets + 1 < MAX_FULL_TARGETS);
    }

    /** Sends a request that may run at one target only; it is not sent there twice. */
    private void sendToTrialTarget() {
        MemberRow member = context.crashGuard().trialMember(call).orElse(null);
        boolean usable = member != null
                && context.targets().permits(route, member)
                && context.targets().isStaying(member, service, clock.nowMillis());
        if (!usable || !tried.add(member.id())) {
            refuse(Refusal.SUSPECTED_OF_CRASHES, statusOf(verdict), CrashGuard.RETRY_MILLIS);
        } else {
            send(member, false);
        }
    }

    private void endWithoutTarget() {
        if (lastFailure == null) {
            waitForTarget(Refusal.NO_TARGET);
        } else {
            conclude(lastFailure);
        }
    }

    private void send(MemberRow member, boolean movable) {
        attemptCount++;
        lastMember = member.id();
        ReportedTargetLoad load = context.targets().observedLoad(member.id());
        Call attempt =
                call.withScheduling(call.scheduling().withMovable(movable).withSuspected(lostAnswers > 0));
        boolean[] replied = new boolean[1];
        Cancellable work = context.sender().send(attempt, member, load, reply -> {
            replied[0] = true;
            if (context.dialect().isLeaving(reply.headers())) {
                context.targets().onLeavingAnnounced(member, service, clock.nowMillis());
            }
            onReply(load, reply);
        });
        if (!replied[0]) {
            inFlightAttempt = work;
        }
    }

    private void onReply(ReportedTargetLoad load, Reply reply) {
        inFlightAttempt = Cancellable.NONE;
        long nowMillis = clock.nowMillis();
        if (reply.load() != null) {
            load.onReport(reply.load(), nowMillis);
        }
        verdict = verdict.combine(reply.verdict());
        updateAvoidance(load, reply, nowMillis);
        if (ended) {
            return;
        }
        if (reply.isAnswer()) {
            onAnswer(reply, nowMillis);
        } else if (reply.verdict() == Verdict.NOT_RUN) {
            onNotRun(reply, nowMillis);
        } else {
            backendAttempts++;
            lostAnswers += reply.refusal() == Refusal.ANSWER_LOST ? 1 : 0;
            lastFailure = reply;
            retryOrConclude(reply, nowMillis);
        }
    }

    /**
     * Updates how long other targets are preferred to this one. A lost response without a load counts as unreachable,
     * since the target's router did not report the loss itself.
     */
    private void updateAvoidance(ReportedTargetLoad load, Reply reply, long nowMillis) {
        if (reply.isAnswer()) {
            load.clearAvoidance();
        } else if (reply.refusal() == Refusal.OWNER_UNREACHABLE
                || reply.refusal() == Refusal.TARGET_UNREACHABLE
                || reply.refusal() == Refusal.ANSWER_LOST && reply.load() == null) {
            load.avoidUntil(nowMillis + UNREACHABLE_AVOID_MILLIS);
        } else if (reply.refusal() == Refusal.ANSWER_LOST) {
            load.onAnswerLost(nowMillis);
        } else if (reply.verdict() == Verdict.NOT_RUN) {
            load.avoidUntil(nowMillis + REFUSED_AVOID_MILLIS);
        }
    }

    private void onAnswer(Reply reply, long nowMillis) {
        backendAttempts++;
        context.fullTargets().onRun(route.name(), lastMember);
        boolean failed = reply.status() >= SERVER_ERROR;
        boolean retriable = failed
                && call.idempotent()
                && call.slice() == null
                && nowMillis - startMillis < route.objectiveMillis() / 2;
        lastFailure = reply;
        if (retriable && acquireRetry(nowMillis) && hasUntried()) {
            startAttempt();
        } else {
            deliver(reply);
        }
    }

    private boolean hasUntried() {
        return context.targets().hasUntriedMember(route, service, tried, clock.nowMillis());
    }

    /** Retries or gives up; an attempt that no target has received is not charged to the retry budget. */
    private void onNotRun(Reply reply, long nowMillis) {
        boolean arrived = reply.refusal() == Refusal.TARGET_REFUSED;
        boolean full = reply.refusal() == Refusal.QUEUE_FULL || reply.refusal() == Refusal.QUEUE_TIMEOUT;
        backendAttempts += arrived ? 1 : 0;
        if (full) {
            fullTargets++;
            capacityDelayMillis = Math.min(capacityDelayMillis, reply.retryAfterMillis());
            if (context.rankedAdmission() && !divided) {
                context.fullTargets().onFull(route.name(), lastMember, reply.retryAfterMillis(), nowMillis);
            }
        }
        lastFailure = reply;
        boolean giveUp = context.withdrawing().test(call)
                || reply.refusal() == Refusal.SUSPECTED_OF_CRASHES
                || call.remainingMillis(nowMillis) < MIN_ATTEMPT_MILLIS
                || arrived && !acquireRetry(nowMillis)
                || full && (divided || fullTargets >= MAX_FULL_TARGETS);
        if (giveUp) {
            conclude(reply);
        } else if (!divided) {
            sendToAnyTarget();
        } else {
            waitForTarget(reply.refusal());
        }
    }

    private void retryOrConclude(Reply reply, long nowMillis) {
        boolean retry = call.idempotent()
                && !context.withdrawing().test(call)
                && call.remainingMillis(nowMillis) > MIN_ATTEMPT_MILLIS
                && reply.refusal() != Refusal.DEADLINE
                && !mayCrashTargets()
                && (divided || hasUntried())
                && acquireRetry(nowMillis);
        if (!retry) {
            conclude(reply);
        } else if (reply.refusal() == Refusal.ANSWER_LOST) {
            waitTimer = context.traffic().schedule(this::startAttempt, RETRY_AFTER_LOSS_MILLIS);
        } else {
            startAttempt();
        }
    }

    /** Returns whether another attempt could be the one for which the request is convicted. */
    private boolean mayCrashTargets() {
        return knownCrashes + lostAnswers >= CrashSuspects.CONVICT_AFTER_CRASHES;
    }

    /** Returns whether the limits allow one more attempt, and if so charges it to the retry budget. */
    private boolean acquireRetry(long nowMillis) {
        return backendAttempts < route.maxAttempts() && context.budgets().tryRetry(service, nowMillis);
    }

    private void conclude(Reply reply) {
        if (reply.isAnswer()) {
            deliver(reply);
        } else {
            boolean anyTarget = context.rankedAdmission() && fullTargets > 0 && !divided;
            long delayMillis = anyTarget ? capacityDelayMillis : reply.retryAfterMillis();
            refuse(reply.refusal(), statusOf(verdict), delayMillis);
        }
    }

    private static int statusOf(Verdict verdict) {
        return verdict == Verdict.NOT_RUN ? UNAVAILABLE : BAD_GATEWAY;
    }

    private void onDeadline() {
        cancelInFlightAttempt();
        refuse(Refusal.DEADLINE, verdict == Verdict.NOT_RUN ? UNAVAILABLE : GATEWAY_TIMEOUT, 0);
    }

    @Override
    public void giveUp() {
        if (!ended) {
            cancelInFlightAttempt();
            refuse(Refusal.GIVEN_UP, statusOf(verdict), 0);
        }
    }

    private void cancelInFlightAttempt() {
        boolean inFlight = inFlightAttempt != Cancellable.NONE && inFlightAttempt.mayHaveRun();
        verdict = inFlight ? verdict.combine(Verdict.MAY_HAVE_RUN) : verdict;
        inFlightAttempt.cancel();
    }

    private void deliver(Reply reply) {
        if (finish()) {
            List<Header> headers = new ArrayList<>(reply.headers());
            headers.add(context.dialect().requestIdField(requestId));
            responder.respond(new HttpExchange.Response(reply.status(), headers, reply.body()));
            report(reply.status(), null, Verdict.RAN);
        }
    }

    /** Ends the request with a response of the router's own. */
    void refuse(Refusal cause, int status, long retryAfterMillis) {
        if (!finish()) {
            return;
        }
        List<Header> headers = new ArrayList<>();
        if (requestId != null) {
            headers.add(context.dialect().requestIdField(requestId));
        }
        if (status == UNAVAILABLE) {
            long delayMillis = Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis);
            if (requestId != null) {
                context.returns().onRefused(requestId, firstMillis, delayMillis, clock.nowMillis());
            }
            double seconds = delayMillis / MILLIS_PER_SECOND;
            headers.add(new Header("Retry-After", String.format(Locale.ROOT, "%.2f", seconds)));
        }
        responder.respond(new HttpExchange.Response(status, headers, NO_BODY));
        report(status, cause, verdict);
    }

    private boolean finish() {
        if (ended) {
            return false;
        }
        ended = true;
        context.onFinished().accept(this);
        deadlineTimer.cancel();
        waitTimer.cancel();
        return true;
    }

    private void report(int status, Refusal cause, Verdict finalVerdict) {
        context.listener().accept(outcome(status, cause, finalVerdict));
    }

    private CallOutcome outcome(int status, Refusal cause, Verdict finalVerdict) {
        return new CallOutcome(
                requestId,
                route == null ? null : route.name(),
                service,
                call == null ? null : call.slice(),
                status,
                cause,
                finalVerdict,
                call != null && call.scheduling().nested(),
                attemptCount,
                lastMember,
                configurationVersion,
                clock.nowMillis() - startMillis);
    }

    @Override
    public void cancel() {
        if (finish()) {
            CallOutcome outcome = outcomeWithoutResponse();
            inFlightAttempt.cancel();
            context.abandonedListener().accept(outcome);
        }
    }

    /** Returns the outcome if the request is not answered. */
    CallOutcome outcomeWithoutResponse() {
        boolean mayHaveRun = inFlightAttempt != Cancellable.NONE && inFlightAttempt.mayHaveRun();
        return outcome(0, null, mayHaveRun ? verdict.combine(Verdict.MAY_HAVE_RUN) : verdict);
    }

    /**
     * The objects that all requests of a router share.
     *
     * @param traffic the loop
     * @param clock the clock
     * @param dialect defines the header fields of callers
     * @param targets selects members to send requests to
     * @param sender sends calls to members
     * @param budgets the retry budgets
     * @param crashGuard tells which requests may crash backend servers
     * @param rankedAdmission whether targets order calls by rank under overload
     * @param fullTargets knows which targets are full
     * @param returns recognizes callers that return after a refusal
     * @param withdrawing returns whether a call is not sent again, as the router stops
     * @param onFinished receives each request that has ended
     * @param listener receives the outcome of each request that was answered
     * @param abandonedListener receives each request whose caller's connection closed before; its status is 0
     */
    record Context(
            TrafficLoop traffic,
            MonotonicClock clock,
            CallDialect dialect,
            TargetSelector targets,
            AttemptSender sender,
            RetryBudgets budgets,
            CrashGuard crashGuard,
            boolean rankedAdmission,
            FullTargets fullTargets,
            ExpectedReturns returns,
            Predicate<Call> withdrawing,
            Consumer<RequestAttempts> onFinished,
            Consumer<CallOutcome> listener,
            Consumer<CallOutcome> abandonedListener) {}
}
