package org.siskindyke.runtime.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.Supplier;

import org.siskindyke.kernel.balance.LocalityAwareSelector;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.SchedulingAttributes;
import org.siskindyke.kernel.call.SharedRetryBudget;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.route.Route;
import org.siskindyke.kernel.route.RouteKind;
import org.siskindyke.kernel.route.RouteTable;
import org.siskindyke.kernel.route.ServiceSettings;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Headers;

/** Handles callers' requests: finds the route and service of each and sends it. Confined to the traffic loop. */
public final class CallerRequestHandler implements HttpExchange.Handler {
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;

    private final MonotonicClock clock;
    private final CallDialect dialect;
    private final BackendDispatcher gate;
    private final ServiceName ownService;
    private final SendTargets targets;
    private final RequestTries.Context context;
    private final Set<RequestTries> active = new HashSet<>();
    private RouteTable routes;
    private boolean withdrawing;

    /** Creates a handler that refuses requests until {@link #setRoutes} is called. */
    public CallerRequestHandler(
            TrafficLoop traffic,
            MonotonicClock clock,
            CallDialect dialect,
            Supplier<ClusterView> view,
            Supplier<MemberId> self,
            PeerNetwork peers,
            BackendDispatcher gate,
            Policies policies) {
        this.clock = clock;
        this.dialect = dialect;
        this.gate = gate;
        this.ownService = policies.ownService();
        this.targets = new SendTargets(view, policies.chooser());
        this.context = new RequestTries.Context(
                traffic,
                clock,
                dialect,
                targets,
                new CallSender(self, peers, gate),
                new RepeatBudgets(policies.budgets(), targets::routers),
                () -> withdrawing,
                active::remove,
                policies.listener());
    }

    /**
     * Parameters that differ between routers.
     *
     * @param ownService the service of the backend server beside this router, from which requests come
     * @param chooser chooses targets of undivided services
     * @param budgets creates a service's retry budget, given the number of routers that share the allowance
     * @param listener receives the outcome of each request
     */
    public record Policies(
            ServiceName ownService,
            LocalityAwareSelector chooser,
            IntFunction<SharedRetryBudget> budgets,
            Consumer<CallOutcome> listener) {}

    /** Replaces the routes and the configuration they belong to. */
    public void setRoutes(RouteTable table) {
        routes = table;
    }

    /** Withdraws each request that no target has begun, as the router is about to stop; refusals are not retried. */
    public void withdrawAll() {
        withdrawing = true;
        List.copyOf(active).forEach(RequestTries::withdraw);
    }

    /** Drops the observed loads of members that are not in {@code serving}. */
    public void retainMembers(Set<MemberId> serving) {
        targets.forgetAllBut(serving);
    }

    @Override
    public Cancellable handle(HttpExchange.Request request, HttpExchange.Responder responder) {
        CallDialect.CallerFields fields = dialect.read(request.headers());
        RequestTries tries = new RequestTries(context, fields.requestId(), responder);
        if (routes == null) {
            tries.refuse(Refusal.NO_SERVICE, RequestTries.UNAVAILABLE, RequestTries.NO_OWNER_RETRY_MILLIS);
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
            tries.refuse(Refusal.NO_TARGET, RequestTries.UNAVAILABLE, RequestTries.NO_OWNER_RETRY_MILLIS);
            return Cancellable.NONE;
        }
        active.add(tries);
        tries.start(route, call(route, service.get(), request, fields, tries.startMillis()), isDivided(service.get()));
        return tries;
    }

    private Call call(
            Route route,
            ServiceName service,
            HttpExchange.Request request,
            CallDialect.CallerFields fields,
            long startMillis) {
        long patienceMillis =
                Math.min(route.timeoutMillis(), fields.timeoutMillis().orElse(route.timeoutMillis()));
        SchedulingAttributes urgency = new SchedulingAttributes(
                route.name(),
                route.priority(),
                startMillis + route.objectiveMillis(),
                isNested(fields.requestId()),
                false);
        return new Call(
                fields.requestId(),
                service,
                fields.key().isPresent() ? Integer.toString(fields.key().getAsInt()) : null,
                sliceOf(service, fields),
                request.method(),
                request.target(),
                dialect.forwardedHeaders(Headers.endToEnd(request.headers()), Optional.of(ownService)),
                request.body(),
                startMillis + patienceMillis,
                route.kind() == RouteKind.SAFE,
                urgency);
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
        return dialect.parentRequestId(requestId).filter(gate::isRunning).isPresent();
    }
}
