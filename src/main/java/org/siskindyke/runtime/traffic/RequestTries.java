package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.siskindyke.kernel.balance.ReportedTargetLoad;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.route.Route;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Reply;

/** The sends of one request, until it has its answer. Confined to the traffic loop. */
final class RequestTries implements Cancellable {
    /** When a caller may come back whose key has no owner, or whose router knows no configuration. */
    static final long NO_OWNER_RETRY_MILLIS = 700;

    static final int UNAVAILABLE = 503;

    /** Longest wait of a call for its key's next owner, in milliseconds; about a planned move. */
    private static final long OWNER_WAIT_MILLIS = 1_000;
    /** Pause between looks for the owner. */
    private static final long OWNER_LOOK_MILLIS = 40;

    private static final long LEAST_RETRY_AFTER_MILLIS = 100;
    /** How long a target that could not be reached is left alone. */
    private static final long UNREACHABLE_AVOID_MILLIS = 1_000;
    /** How long a target that refused is left alone while there are others. */
    private static final long REFUSED_AVOID_MILLIS = 60;
    /** Full targets that may refuse a request before it is refused; each asks for bytes and time of two routers. */
    private static final int MOST_FULL_TARGETS = 3;
    /** Time that must be left for another try. */
    private static final long LEAST_TRY_MILLIS = 60;

    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int SERVER_ERROR = 500;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final byte[] NO_BODY = {};

    private final Context context;
    private final MonotonicClock clock;
    private final String requestId;
    private final HttpExchange.Responder responder;
    private final long startMillis;
    private final Set<MemberId> tried = new HashSet<>();
    private boolean divided;
    private Route route;
    private ServiceName service;
    private Call call;
    private int sends;
    private int arrivals;
    private int fullTargets;
    private Verdict verdict = Verdict.NOT_RUN;
    private Cancellable sending = Cancellable.NONE;
    private Cancellable timer = Cancellable.NONE;
    private Cancellable pause = Cancellable.NONE;
    private MemberId lastMember;
    private Reply lastFailure;
    private boolean ended;

    RequestTries(Context context, String requestId, HttpExchange.Responder responder) {
        this.context = context;
        this.clock = context.clock();
        this.requestId = requestId;
        this.responder = responder;
        this.startMillis = clock.nowMillis();
    }

    /** Returns when the request was read. */
    long startMillis() {
        return startMillis;
    }

    /** Sends the request for the first time. */
    void start(Route chosen, Call made, boolean isDivided) {
        route = chosen;
        service = made.service();
        call = made;
        divided = isDivided;
        context.budgets().onRequest(service, startMillis);
        timer = context.traffic().schedule(this::onDeadline, call.deadlineMillis() - startMillis);
        attempt();
    }

    private void attempt() {
        if (ended) {
            return;
        }
        if (divided) {
            attemptOwner();
        } else {
            attemptAny();
        }
    }

    private void attemptOwner() {
        Optional<MemberRow> owner =
                call.slice() == null ? Optional.empty() : context.targets().owner(call.slice());
        if (owner.isEmpty()) {
            waitForOwner(Refusal.NO_OWNER);
        } else {
            send(owner.get(), false);
        }
    }

    @Override
    public void withdraw() {
        if (sending == Cancellable.NONE) {
            refuse(Refusal.LEAVING, statusOf(verdict), 0);
        } else {
            sending.withdraw();
        }
    }

    private void waitForOwner(Refusal cause) {
        long nowMillis = clock.nowMillis();
        long timeMillis = call.deadlineMillis() - startMillis;
        long patienceMillis = call.scheduling().nested() ? timeMillis - LEAST_TRY_MILLIS : timeMillis / 2;
        long untilMillis = startMillis + Math.min(OWNER_WAIT_MILLIS, patienceMillis);
        if (nowMillis + OWNER_LOOK_MILLIS > untilMillis) {
            refuse(cause, statusOf(verdict), NO_OWNER_RETRY_MILLIS);
            return;
        }
        pause = context.traffic().schedule(this::attempt, OWNER_LOOK_MILLIS);
    }

    private void attemptAny() {
        long nowMillis = clock.nowMillis();
        long leftMillis = call.scheduling().objectiveMillis() - nowMillis;
        Optional<SendTargets.Choice> chosen = context.targets().choose(service, tried, leftMillis, nowMillis);
        if (chosen.isEmpty()) {
            endWithoutTarget();
            return;
        }
        tried.add(chosen.get().member().id());
        send(chosen.get().member(), chosen.get().othersLeft() && fullTargets + 1 < MOST_FULL_TARGETS);
    }

    private void endWithoutTarget() {
        if (lastFailure == null) {
            waitForOwner(Refusal.NO_TARGET);
        } else {
            conclude(lastFailure);
        }
    }

    private void send(MemberRow member, boolean movable) {
        sends++;
        lastMember = member.id();
        ReportedTargetLoad load = context.targets().viewOf(member.id());
        Call attempt = call.withScheduling(call.scheduling().withMovable(movable));
        boolean[] replied = new boolean[1];
        Cancellable work = context.sender().send(attempt, member, load, reply -> {
            replied[0] = true;
            onReply(load, reply);
        });
        if (!replied[0]) {
            sending = work;
        }
    }

    private void onReply(ReportedTargetLoad load, Reply reply) {
        sending = Cancellable.NONE;
        long nowMillis = clock.nowMillis();
        if (reply.load() != null) {
            load.onReport(reply.load(), nowMillis);
        }
        verdict = verdict.combine(reply.verdict());
        noteTrouble(load, reply, nowMillis);
        if (ended) {
            return;
        }
        if (reply.isAnswer()) {
            onAnswer(reply, nowMillis);
        } else if (reply.verdict() == Verdict.NOT_RUN) {
            onNotRun(reply, nowMillis);
        } else {
            arrivals++;
            lastFailure = reply;
            repeatOrConclude(reply, nowMillis);
        }
    }

    private void noteTrouble(ReportedTargetLoad load, Reply reply, long nowMillis) {
        if (reply.isAnswer()) {
            load.clearAvoidance();
        } else if (reply.refusal() == Refusal.OWNER_UNREACHABLE
                || reply.refusal() == Refusal.TARGET_UNREACHABLE
                || reply.refusal() == Refusal.ANSWER_LOST && reply.load() == null) {
            load.avoidUntil(nowMillis + UNREACHABLE_AVOID_MILLIS);
        } else if (reply.verdict() == Verdict.NOT_RUN) {
            load.avoidUntil(nowMillis + REFUSED_AVOID_MILLIS);
        }
    }

    private void onAnswer(Reply reply, long nowMillis) {
        arrivals++;
        boolean failed = reply.status() >= SERVER_ERROR;
        boolean worthAnother = failed
                && call.idempotent()
                && call.slice() == null
                && nowMillis - startMillis < route.objectiveMillis() / 2;
        lastFailure = reply;
        if (worthAnother && mayRepeat(nowMillis) && hasUntried()) {
            attempt();
        } else {
            deliver(reply);
        }
    }

    private boolean hasUntried() {
        return context.targets().hasUntried(service, tried);
    }

    /** Tries elsewhere; what no target has seen costs none of the budget. */
    private void onNotRun(Reply reply, long nowMillis) {
        boolean arrived = reply.refusal() == Refusal.TARGET_REFUSED;
        boolean full = reply.refusal() == Refusal.QUEUE_FULL || reply.refusal() == Refusal.QUEUE_TIMEOUT;
        arrivals += arrived ? 1 : 0;
        fullTargets += full ? 1 : 0;
        lastFailure = reply;
        boolean hopeless = context.withdrawing().getAsBoolean()
                || call.remainingMillis(nowMillis) < LEAST_TRY_MILLIS
                || arrived && !mayRepeat(nowMillis)
                || full && (divided || fullTargets >= MOST_FULL_TARGETS);
        if (hopeless) {
            conclude(reply);
        } else if (!divided) {
            attemptAny();
        } else {
            waitForOwner(reply.refusal());
        }
    }

    private void repeatOrConclude(Reply reply, long nowMillis) {
        boolean again = call.idempotent()
                && call.remainingMillis(nowMillis) > LEAST_TRY_MILLIS
                && reply.refusal() != Refusal.DEADLINE
                && (divided || hasUntried())
                && mayRepeat(nowMillis);
        if (again) {
            attempt();
        } else {
            conclude(reply);
        }
    }

    /** Takes one more send to a target out of the limits, if they allow it. */
    private boolean mayRepeat(long nowMillis) {
        return arrivals < route.maxTargets() && context.budgets().tryRepeat(service, nowMillis);
    }

    private void conclude(Reply reply) {
        if (reply.isAnswer()) {
            deliver(reply);
        } else {
            refuse(reply.refusal(), statusOf(verdict), reply.retryAfterMillis());
        }
    }

    private static int statusOf(Verdict verdict) {
        return verdict == Verdict.NOT_RUN ? UNAVAILABLE : BAD_GATEWAY;
    }

    private void onDeadline() {
        boolean inFlight = sending != Cancellable.NONE;
        verdict = inFlight ? verdict.combine(Verdict.MAY_HAVE_RUN) : verdict;
        sending.cancel();
        refuse(Refusal.DEADLINE, verdict == Verdict.NOT_RUN ? UNAVAILABLE : GATEWAY_TIMEOUT, 0);
    }

    private void deliver(Reply reply) {
        if (finish()) {
            List<Header> headers = new ArrayList<>(reply.headers());
            headers.add(context.dialect().requestIdField(requestId));
            responder.respond(new HttpExchange.Response(reply.status(), headers, reply.body()));
            report(reply.status(), null, Verdict.RAN);
        }
    }

    /** Ends the request with an answer of the router's own. */
    void refuse(Refusal cause, int status, long retryAfterMillis) {
        if (!finish()) {
            return;
        }
        List<Header> headers = new ArrayList<>();
        if (requestId != null) {
            headers.add(context.dialect().requestIdField(requestId));
        }
        if (status == UNAVAILABLE) {
            double seconds = Math.max(LEAST_RETRY_AFTER_MILLIS, retryAfterMillis) / MILLIS_PER_SECOND;
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
        timer.cancel();
        pause.cancel();
        return true;
    }

    private void report(int status, Refusal cause, Verdict finalVerdict) {
        context.listener()
                .accept(new CallOutcome(
                        requestId,
                        route == null ? null : route.name(),
                        service,
                        call == null ? null : call.slice(),
                        status,
                        cause,
                        finalVerdict,
                        call != null && call.scheduling().nested(),
                        sends,
                        lastMember,
                        clock.nowMillis() - startMillis));
    }

    @Override
    public void cancel() {
        if (finish()) {
            sending.cancel();
        }
    }

    /**
     * What all requests of a router share.
     *
     * @param traffic the loop
     * @param clock the clock
     * @param dialect header fields of callers
     * @param targets where requests may be sent
     * @param sender sends them
     * @param budgets limits repeated sends
     * @param withdrawing whether the router is about to end, so that nothing is sent any more
     * @param onFinished takes each request that has its answer
     * @param listener learns what became of requests
     */
    record Context(
            TrafficLoop traffic,
            MonotonicClock clock,
            CallDialect dialect,
            SendTargets targets,
            CallSender sender,
            RepeatBudgets budgets,
            BooleanSupplier withdrawing,
            Consumer<RequestTries> onFinished,
            Consumer<CallOutcome> listener) {}
}
