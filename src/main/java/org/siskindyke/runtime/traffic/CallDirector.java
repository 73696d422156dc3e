package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.siskindyke.kernel.balance.NearbyFirst;
import org.siskindyke.kernel.balance.TargetView;
import org.siskindyke.kernel.call.CallUrgency;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.SendBudget;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.ownership.KeyRange;
import org.siskindyke.kernel.ownership.SliceOwner;
import org.siskindyke.kernel.route.Route;
import org.siskindyke.kernel.route.RouteKind;
import org.siskindyke.kernel.route.RouteTable;
import org.siskindyke.kernel.route.ServiceSettings;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Headers;
import org.siskindyke.runtime.call.Reply;

/** Finds the route and the target of each request, and tries again where that is safe. Confined to the traffic loop. */
public final class CallDirector implements HttpExchange.Handler {
    /** Longest wait of a call for its key's next owner, in milliseconds; about a planned move. */
    private static final long OWNER_WAIT_MILLIS = 1_000;
    /** Pause between looks for the owner. */
    private static final long OWNER_LOOK_MILLIS = 40;
    /** When a caller may come back whose key has no owner, or whose router knows no configuration. */
    private static final long NO_OWNER_RETRY_MILLIS = 700;

    private static final long LEAST_RETRY_AFTER_MILLIS = 100;
    /** How long a target that could not be reached is left alone. */
    private static final long UNREACHABLE_AVOID_MILLIS = 1_000;
    /** How long a target that refused is left alone while there are others. */
    private static final long REFUSED_AVOID_MILLIS = 60;
    /** Time that must be left for another try. */
    private static final long LEAST_TRY_MILLIS = 60;

    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int SERVER_ERROR = 500;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final byte[] NO_BODY = {};

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final CallDialect dialect;
    private final Supplier<ClusterView> view;
    private final Supplier<MemberId> self;
    private final PeerNetwork peers;
    private final LocalGate gate;
    private final Policies policies;
    private final Map<MemberId, TargetView> views = new HashMap<>();
    private final Set<Tries> active = new HashSet<>();
    private RouteTable routes;
    private boolean withdrawing;

    /** Tells what became of requests. */
    public interface DirectorListener {
        /** A request has ended. */
        void onEnded(Outcome outcome);
    }

    /**
     * What became of a request.
     *
     * @param requestId its id
     * @param route its route, or null
     * @param service its service, or null
     * @param status the answer's status
     * @param refusal the cause where the answer is the router's own; else null
     * @param verdict whether it may have run
     * @param nested whether it came from the backend server beside this router
     * @param attempts sends to routers
     * @param lastMember where it was sent last, or null
     * @param tookMillis how long it took
     */
    public record Outcome(
            String requestId,
            String route,
            ServiceName service,
            int status,
            Refusal refusal,
            Verdict verdict,
            boolean nested,
            int attempts,
            MemberId lastMember,
            long tookMillis) {}

    /** Makes the budget of a service. */
    @FunctionalInterface
    public interface Budgets {
        /** Returns a new budget, for the number of routers there are. */
        SendBudget create(int routers);
    }

    private final Map<ServiceName, SendBudget> budgetByService = new HashMap<>();

    /** Creates a director that knows no configuration yet. */
    public CallDirector(
            TrafficLoop traffic,
            MonotonicClock clock,
            CallDialect dialect,
            Supplier<ClusterView> view,
            Supplier<MemberId> self,
            PeerNetwork peers,
            LocalGate gate,
            Policies policies) {
        this.traffic = traffic;
        this.clock = clock;
        this.dialect = dialect;
        this.view = view;
        this.self = self;
        this.peers = peers;
        this.gate = gate;
        this.policies = policies;
    }

    /**
     * What varies between directors.
     *
     * @param ownService the service of the backend server beside this router, from which requests come
     * @param chooser chooses targets of undivided services
     * @param budgets limits repeated sends
     * @param listener learns what became of requests
     */
    public record Policies(ServiceName ownService, NearbyFirst chooser, Budgets budgets, DirectorListener listener) {}

    /** Takes a newer configuration into force. */
    public void setRoutes(RouteTable table) {
        routes = table;
    }

    /** Returns the routes in force, or null. */
    public RouteTable routes() {
        return routes;
    }

    /** Takes back each request that no target has begun, because the router is about to end. */
    public void withdrawAll() {
        withdrawing = true;
        List.copyOf(active).forEach(Tries::withdraw);
    }

    /** Forgets what was seen of members that have ended. */
    public void forgetAllBut(Set<MemberId> serving) {
        views.keySet().retainAll(serving);
    }

    @Override
    public Cancellable handle(HttpExchange.Request request, HttpExchange.Responder responder) {
        long nowMillis = clock.nowMillis();
        CallDialect.CallerFields fields = dialect.read(request.headers());
        Tries tries = new Tries(fields.requestId(), responder, nowMillis);
        if (routes == null) {
            tries.refuse(Refusal.NO_SERVICE, UNAVAILABLE, NO_OWNER_RETRY_MILLIS);
            return Cancellable.NONE;
        }
        Optional<Route> found = routes.find(Headers.firstIgnoringCase(request.headers(), "host"), request.target());
        if (found.isEmpty()) {
            tries.refuse(Refusal.NO_SERVICE, NOT_FOUND, 0);
            return Cancellable.NONE;
        }
        if (fields.requestId() == null) {
            tries.refuse(Refusal.NO_KEY, BAD_REQUEST, 0);
            return Cancellable.NONE;
        }
        Route route = found.get();
        Optional<ServiceName> service = routes.nextService(route);
        if (service.isEmpty()) {
            tries.refuse(Refusal.NO_TARGET, UNAVAILABLE, NO_OWNER_RETRY_MILLIS);
            return Cancellable.NONE;
        }
        tries.start(route, service.get(), request, fields);
        return tries;
    }

    private SliceRef sliceOf(ServiceName service, CallDialect.CallerFields fields) {
        ServiceSettings settings = routes.configuration().services().get(service);
        if (settings == null || !settings.divided() || fields.key().isEmpty()) {
            return null;
        }
        int slices = view.get().ownership().sliceCount(service);
        return slices == 0
                ? null
                : new SliceRef(service, KeyRange.sliceOf(fields.key().getAsInt(), slices));
    }

    private boolean isDivided(ServiceName service) {
        ServiceSettings settings = routes.configuration().services().get(service);
        return settings != null && settings.divided();
    }

    /** Tells whether a call running at the backend server beside this router made the request and waits for it. */
    private boolean isNested(String requestId) {
        return dialect.parentRequest(requestId).filter(gate::isRunning).isPresent();
    }

    private SendBudget budget(ServiceName service) {
        int routers = Math.max(1, view.get().members().serving().size());
        return budgetByService.computeIfAbsent(service, s -> policies.budgets().create(routers));
    }

    private TargetView viewOf(MemberId member) {
        return views.computeIfAbsent(member, m -> new TargetView());
    }

    /** The sends of one request. */
    private final class Tries implements Cancellable {
        private final String requestId;
        private final HttpExchange.Responder responder;
        private final long startMillis;
        private final Set<MemberId> tried = new HashSet<>();
        private Route route;
        private ServiceName service;
        private Call call;
        private int sends;
        private int arrivals;
        private Verdict verdict = Verdict.NOT_RUN;
        private Cancellable sending = Cancellable.NONE;
        private Cancellable timer = Cancellable.NONE;
        private Cancellable pause = Cancellable.NONE;
        private MemberId lastMember;
        private Reply lastFailure;
        private boolean ended;

        private Tries(String requestId, HttpExchange.Responder responder, long startMillis) {
            this.requestId = requestId;
            this.responder = responder;
            this.startMillis = startMillis;
        }

        private void start(
                Route chosen,
                ServiceName chosenService,
                HttpExchange.Request request,
                CallDialect.CallerFields fields) {
            route = chosen;
            service = chosenService;
            long patienceMillis =
                    Math.min(route.timeoutMillis(), fields.timeoutMillis().orElse(route.timeoutMillis()));
            CallUrgency urgency = new CallUrgency(
                    route.name(), route.priority(), startMillis + route.objectiveMillis(), isNested(requestId), false);
            call = new Call(
                    requestId,
                    service,
                    fields.key().isPresent() ? Integer.toString(fields.key().getAsInt()) : null,
                    sliceOf(service, fields),
                    request.method(),
                    request.target(),
                    dialect.passOn(Headers.endToEnd(request.headers()), Optional.of(policies.ownService())),
                    request.body(),
                    startMillis + patienceMillis,
                    route.kind() == RouteKind.SAFE,
                    urgency);
            active.add(this);
            budget(service).onRequest(startMillis);
            timer = traffic.schedule(this::onDeadline, patienceMillis);
            attempt();
        }

        private void attempt() {
            if (ended) {
                return;
            }
            if (isDivided(service)) {
                attemptOwner();
            } else {
                attemptAny();
            }
        }

        private void attemptOwner() {
            if (call.slice() == null) {
                waitForOwner(Refusal.NO_OWNER);
                return;
            }
            SliceOwner owner = view.get().ownership().owner(call.slice()).orElse(null);
            Optional<MemberRow> member = owner == null || owner.member() == null
                    ? Optional.empty()
                    : view.get().members().serving(owner.member());
            if (member.isEmpty()) {
                waitForOwner(Refusal.NO_OWNER);
            } else {
                send(member.get(), false);
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
            long patienceMillis = call.urgency().nested() ? timeMillis - LEAST_TRY_MILLIS : timeMillis / 2;
            long untilMillis = startMillis + Math.min(OWNER_WAIT_MILLIS, patienceMillis);
            if (nowMillis + OWNER_LOOK_MILLIS > untilMillis) {
                refuse(cause, statusOf(verdict), NO_OWNER_RETRY_MILLIS);
                return;
            }
            pause = traffic.schedule(this::attempt, OWNER_LOOK_MILLIS);
        }

        private void attemptAny() {
            long nowMillis = clock.nowMillis();
            List<MemberRow> candidates = view.get().members().withTarget(service);
            long leftMillis = call.urgency().objectiveMillis() - nowMillis;
            Optional<MemberRow> chosen =
                    policies.chooser().choose(candidates, tried, CallDirector.this::viewOf, leftMillis, nowMillis);
            if (chosen.isEmpty()) {
                endWithoutTarget();
                return;
            }
            boolean othersLeft = candidates.stream()
                    .anyMatch(c -> !c.id().equals(chosen.get().id()) && !tried.contains(c.id()));
            tried.add(chosen.get().id());
            send(chosen.get(), othersLeft);
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
            TargetView load = viewOf(member.id());
            load.onSent();
            Call attempt = call.withUrgency(call.urgency().withMovable(movable));
            boolean local = member.id().equals(self.get());
            boolean[] replied = new boolean[1];
            Cancellable work = local
                    ? gate.submit(attempt, reply -> onReply(member, load, reply, replied))
                    : peers.forward(attempt, member, 1, reply -> onReply(member, load, reply, replied));
            if (!replied[0]) {
                sending = new Cancellable() {
                    @Override
                    public void cancel() {
                        if (!replied[0]) {
                            replied[0] = true;
                            load.onEnded();
                            work.cancel();
                        }
                    }

                    @Override
                    public void withdraw() {
                        work.withdraw();
                    }
                };
            }
        }

        private void onReply(MemberRow member, TargetView load, Reply reply, boolean[] replied) {
            if (replied[0]) {
                return;
            }
            replied[0] = true;
            sending = Cancellable.NONE;
            load.onEnded();
            long nowMillis = clock.nowMillis();
            if (reply.load() != null) {
                load.onReport(reply.load(), nowMillis);
            }
            verdict = verdict.and(reply.verdict());
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

        private void noteTrouble(TargetView load, Reply reply, long nowMillis) {
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
            return view.get().members().withTarget(service).stream().anyMatch(m -> !tried.contains(m.id()));
        }

        /** Tries elsewhere; what no target has seen costs none of the budget. */
        private void onNotRun(Reply reply, long nowMillis) {
            boolean arrived = reply.refusal() == Refusal.TARGET_REFUSED;
            arrivals += arrived ? 1 : 0;
            lastFailure = reply;
            boolean hopeless = withdrawing
                    || call.remainingMillis(nowMillis) < LEAST_TRY_MILLIS
                    || arrived && !mayRepeat(nowMillis);
            if (hopeless) {
                conclude(reply);
            } else if (!isDivided(service)) {
                attemptAny();
            } else if (reply.refusal() == Refusal.QUEUE_FULL || reply.refusal() == Refusal.QUEUE_TIMEOUT) {
                conclude(reply);
            } else {
                waitForOwner(reply.refusal());
            }
        }

        private void repeatOrConclude(Reply reply, long nowMillis) {
            boolean again = call.idempotent()
                    && call.remainingMillis(nowMillis) > LEAST_TRY_MILLIS
                    && reply.refusal() != Refusal.DEADLINE
                    && (isDivided(service) || hasUntried())
                    && mayRepeat(nowMillis);
            if (again) {
                attempt();
            } else {
                conclude(reply);
            }
        }

        /** Takes one more send to a target out of the limits, if they allow it. */
        private boolean mayRepeat(long nowMillis) {
            return arrivals < route.maxTargets() && budget(service).tryRepeat(nowMillis);
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
            sending.cancel();
            Refusal cause = Refusal.DEADLINE;
            boolean neverSent = sends == 0;
            refuse(cause, neverSent ? UNAVAILABLE : GATEWAY_TIMEOUT, 0);
        }

        private void deliver(Reply reply) {
            if (finish()) {
                responder.respond(new HttpExchange.Response(reply.status(), reply.headers(), reply.body()));
                report(reply.status(), null, Verdict.RAN);
            }
        }

        private void refuse(Refusal cause, int status, long retryAfterMillis) {
            if (!finish()) {
                return;
            }
            List<Header> headers = new ArrayList<>();
            if (requestId != null) {
                headers.add(dialect.requestIdField(requestId));
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
            active.remove(this);
            timer.cancel();
            pause.cancel();
            return true;
        }

        private void report(int status, Refusal cause, Verdict finalVerdict) {
            policies.listener()
                    .onEnded(new Outcome(
                            requestId,
                            route == null ? null : route.name(),
                            service,
                            status,
                            cause,
                            finalVerdict,
                            call != null && call.urgency().nested(),
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
    }
}
