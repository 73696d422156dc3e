package org.siskindyke.runtime.traffic;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.siskindyke.kernel.balance.TargetChooser;
import org.siskindyke.kernel.call.ExpectedReturns;
import org.siskindyke.kernel.call.FullTargets;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.SchedulingAttributes;
import org.siskindyke.kernel.call.SharedRetryBudget;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.place.Evacuation;
import org.siskindyke.kernel.place.Topology;
import org.siskindyke.kernel.route.Route;
import org.siskindyke.kernel.route.RouteKind;
import org.siskindyke.kernel.route.RouteTable;
import org.siskindyke.kernel.route.ServiceSettings;
import org.siskindyke.kernel.route.ServiceShare;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.CrashGuard;
import org.siskindyke.runtime.call.Headers;

/** Handles callers' requests: finds the route and service of each and sends it. Confined to the traffic loop. */
public final class CallerRequestHandler implements HttpExchange.Handler {
    /** Time from the end of a router until the next one at its address serves. */
    private static final long RESTART_MILLIS = 1_200;

    /** Refused requests that are remembered under ranked admission; about 100 bytes each. */
    private static final int MAX_EXPECTED_RETURNS = 1_024;

    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;

    private final MonotonicClock clock;
    private final CallDialect dialect;
    private final BackendDispatcher dispatcher;
    private final ServiceName ownService;
    private final TargetSelector targets;
    private final TargetExplainer explainer;
    private final RequestAttempts.Context context;
    private final boolean rankedAdmission;
    private final ExpectedReturns returns;
    private final Set<RequestAttempts> active = new HashSet<>();
    private RouteTable routes;
    private boolean withdrawing;
    private boolean withdrawingNested;
    private long endMillis;

    /** Creates a handler that refuses requests until {@link #setRoutes} is called. */
    public CallerRequestHandler(
            TrafficLoop traffic,
            MonotonicClock clock,
            CallDialect dialect,
            Supplier<ClusterView> view,
            Supplier<MemberId> self,
            PeerNetwork peers,
            BackendDispatcher dispatcher,
            Policies policies) {
        this.clock = clock;
        this.dialect = dialect;
        this.dispatcher = dispatcher;
        this.ownService = policies.ownService();
        this.rankedAdmission = policies.rankedAdmission();
        this.returns = new ExpectedReturns(rankedAdmission ? MAX_EXPECTED_RETURNS : 0);
        this.targets = new TargetSelector(
                view,
                policies.chooser(),
                policies.choiceListener(),
                policies.drain(),
                policies.topology(),
                policies.evacuationTime());
        this.explainer = new TargetExplainer(view, policies.chooser(), targets);
        this.context = new RequestAttempts.Context(
                traffic,
                clock,
                dialect,
                targets,
                new AttemptSender(self, peers, dispatcher),
                new RetryBudgets(() -> policies.budgets().apply(targets::routerCount), policies.retryListener()),
                policies.crashGuard(),
                rankedAdmission,
                new FullTargets(),
                returns,
                this::isWithdrawn,
                active::remove,
                outcome -> onEnded(outcome, policies.listener()),
                policies.abandonedListener());
    }

    /**
     * Parameters that differ between routers.
     *
     * @param ownService the service of the backend server beside this router, from which requests come
     * @param chooser chooses targets of undivided services
     * @param choiceListener receives the choices for services that have many targets
     * @param budgets creates a service's retry budget, given a function that returns the number of routers that share
     *     the allowance
     * @param crashGuard tells which requests may crash backend servers
     * @param rankedAdmission whether targets order calls by rank under overload
     * @param drain returns the time within which a leaving backend server stops getting calls
     * @param topology the regions of the failure domains
     * @param evacuationTime time within which an evacuation must be in force
     * @param retryListener receives each decision of a retry budget
     * @param listener receives the outcome of each request that was answered
     * @param abandonedListener receives each request whose caller's connection closed before; its status is 0
     */
    public record Policies(
            ServiceName ownService,
            TargetChooser chooser,
            Consumer<TargetChoice> choiceListener,
            Function<IntSupplier, SharedRetryBudget> budgets,
            CrashGuard crashGuard,
            boolean rankedAdmission,
            Supplier<Duration> drain,
            Topology topology,
            Duration evacuationTime,
            Consumer<RetryDecision> retryListener,
            Consumer<CallOutcome> listener,
            Consumer<CallOutcome> abandonedListener) {}

    private void onEnded(CallOutcome outcome, Consumer<CallOutcome> listener) {
        if (outcome.nested()) {
            boolean refused = outcome.refusal() != null && outcome.verdict() == Verdict.NOT_RUN;
            dialect.parentRequestId(outcome.requestId()).ifPresent(parent -> dispatcher.onNestedEnded(parent, refused));
        }
        listener.accept(outcome);
    }

    /** Replaces the routes and the configuration they belong to. */
    public void setRoutes(RouteTable table) {
        routes = table;
    }

    /** Replaces the evacuation orders in force. */
    public void setEvacuation(Evacuation inForce) {
        targets.setEvacuation(inForce);
    }

    /**
     * Refuses new requests and withdraws those that no target has begun, as they might not end before the router does.
     * Attempts of these requests that did not run are not retried. The requests of running requests, which would fail
     * without them, are still served.
     *
     * @param latestEndMillis when the router ends at the latest, by the monotonic clock
     */
    public void withdrawCallers(long latestEndMillis) {
        endMillis = latestEndMillis;
        withdrawing = true;
        withdrawActive();
    }

    /** Returns the delay after which the router that comes next is expected to serve. */
    private long retryAfterStopMillis() {
        return Math.max(0, endMillis - clock.nowMillis()) / 2 + RESTART_MILLIS;
    }

    /** Withdraws the requests of running requests, too, as the router is about to end. */
    public void withdrawAll() {
        withdrawing = true;
        withdrawingNested = true;
        withdrawActive();
    }

    private void withdrawActive() {
        List.copyOf(active).stream()
                .filter(attempts -> isWithdrawn(attempts.call()))
                .forEach(RequestAttempts::withdraw);
    }

    private boolean isWithdrawn(Call call) {
        return call.scheduling().nested() ? withdrawingNested : withdrawing;
    }

    /** Returns the outcomes of the requests that are not answered, if they will not be. */
    public List<CallOutcome> unanswered() {
        return active.stream().map(RequestAttempts::outcomeWithoutResponse).toList();
    }

    /** Drops the observed loads of members that are not in {@code serving}. */
    public void retainMembers(Set<MemberId> serving) {
        targets.retainMembers(serving);
    }

    @Override
    public Cancellable handle(HttpExchange.Request request, HttpExchange.Responder responder) {
        CallDialect.CallerFields fields = dialect.read(request.headers());
        RequestAttempts attempts = new RequestAttempts(
                context,
                fields.requestId(),
                responder,
                routes == null ? 0 : routes.configuration().version());
        if (withdrawing && (withdrawingNested || !isNested(fields.requestId()))) {
            attempts.refuse(Refusal.LEAVING, RequestAttempts.UNAVAILABLE, retryAfterStopMillis());
            return Cancellable.NONE;
        }
        if (routes == null) {
            attempts.refuse(Refusal.NO_SERVICE, RequestAttempts.UNAVAILABLE, RequestAttempts.NO_OWNER_RETRY_MILLIS);
            return Cancellable.NONE;
        }
        Optional<Route> found = routes.find(Headers.firstIgnoringCase(request.headers(), "host"), request.target());
        if (found.isEmpty()) {
            attempts.refuse(Refusal.NO_SERVICE, NOT_FOUND, 0);
            return Cancellable.NONE;
        }
        if (fields.requestId() == null) {
            // Refusal has no code for a missing request id; the one for a missing key is reported.
            attempts.refuse(Refusal.NO_KEY, BAD_REQUEST, 0);
            return Cancellable.NONE;
        }
        Route route = found.get();
        Optional<ServiceName> service = routes.nextService(route);
        if (service.isEmpty()) {
            attempts.refuse(Refusal.NO_TARGET, RequestAttempts.UNAVAILABLE, RequestAttempts.NO_OWNER_RETRY_MILLIS);
            return Cancellable.NONE;
        }
        Optional<ExpectedReturns.Return> returned = returns.onArrival(fields.requestId(), attempts.startMillis());
        returned.ifPresent(earlier -> attempts.setFirstMillis(earlier.firstMillis()));
        boolean returning = returned.filter(ExpectedReturns.Return::punctual).isPresent();
        active.add(attempts);
        attempts.start(
                route, newCall(route, service.get(), request, fields, attempts, returning), isDivided(service.get()));
        return attempts;
    }

    /**
     * Returns where a request would go now, see {@link ExplainHandler.Explainer}.
     *
     * @param host the value of its Host header
     * @param path its path
     * @param key its key; empty if it has none
     * @throws SiskindykeException with code {@code NOT_FOUND} if no route matches, or {@code PEER_UNAVAILABLE} before
     *     the first configuration
     */
    public RequestExplanation explain(String host, String path, OptionalInt key) {
        if (routes == null) {
            throw new SiskindykeException(ErrorCode.PEER_UNAVAILABLE, "the router has no configuration yet");
        }
        Route route = routes.find(host, path)
                .orElseThrow(() -> new SiskindykeException(ErrorCode.NOT_FOUND, "no route matches this host and path"));
        List<RequestExplanation.Service> services =
                route.shares().stream().map(share -> explain(route, share, key)).toList();
        return new RequestExplanation(
                route.name(), route.priority(), route.objectiveMillis(), route.timeoutMillis(), services);
    }

    private RequestExplanation.Service explain(Route route, ServiceShare share, OptionalInt key) {
        ServiceName service = share.service();
        long nowMillis = clock.nowMillis();
        if (!isDivided(service)) {
            return explainer.undivided(route, service, share.weight(), nowMillis);
        }
        SliceRef slice = key.isPresent() ? targets.slice(service, key.getAsInt()) : null;
        return explainer.divided(route, service, share.weight(), slice, nowMillis);
    }

    private Call newCall(
            Route route,
            ServiceName service,
            HttpExchange.Request request,
            CallDialect.CallerFields fields,
            RequestAttempts attempts,
            boolean returning) {
        Optional<Call> parent = parent(fields.requestId());
        long timeoutMillis =
                Math.min(route.timeoutMillis(), fields.timeoutMillis().orElse(route.timeoutMillis()));
        long deadlineMillis = attempts.startMillis() + timeoutMillis;
        SchedulingAttributes scheduling = new SchedulingAttributes(
                route.name(),
                priority(route, parent),
                attempts.firstMillis() + route.objectiveMillis(),
                parent.isPresent(),
                false,
                false,
                returning);
        return new Call(
                fields.requestId(),
                ClientAccount.of(ownService.value()),
                service,
                fields.key().isPresent() ? Integer.toString(fields.key().getAsInt()) : null,
                sliceOf(service, fields),
                request.method(),
                request.target(),
                dialect.forwardedHeaders(Headers.endToEnd(request.headers()), Optional.of(ownService)),
                request.body(),
                deadlineMillis(deadlineMillis, parent),
                route.kind() == RouteKind.SAFE,
                scheduling);
    }

    /** Returns a request's rank; under ranked admission a nested request has that of the request that makes it. */
    private int priority(Route route, Optional<Call> parent) {
        return rankedAdmission && parent.isPresent() ? parent.get().scheduling().priority() : route.priority();
    }

    /**
     * Returns a request's deadline; under ranked admission a nested request ends with the request that makes it. One
     * that is not idempotent runs on after its deadline and still needs the response.
     */
    private long deadlineMillis(long ownMillis, Optional<Call> parent) {
        return rankedAdmission && parent.filter(Call::idempotent).isPresent()
                ? Math.min(ownMillis, parent.get().deadlineMillis())
                : ownMillis;
    }

    private SliceRef sliceOf(ServiceName service, CallDialect.CallerFields fields) {
        boolean keyed = isDivided(service) && fields.key().isPresent();
        return keyed ? targets.slice(service, fields.key().getAsInt()) : null;
    }

    private boolean isDivided(ServiceName service) {
        ServiceSettings settings = routes.configuration().services().get(service);
        return settings != null && settings.divided();
    }

    /** Returns whether a call that runs at the backend server beside this router made the request and waits for it. */
    private boolean isNested(String requestId) {
        return parent(requestId).isPresent();
    }

    /** Returns the call above, which made the request; empty where there is none. */
    private Optional<Call> parent(String requestId) {
        return dialect.parentRequestId(requestId).flatMap(dispatcher::runningCall);
    }
}
