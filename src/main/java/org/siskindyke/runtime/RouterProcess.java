package org.siskindyke.runtime;

import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.servicetalk.http.api.HttpServerContext;
import org.siskindyke.kernel.balance.SliceBalancePolicy;
import org.siskindyke.kernel.balance.TargetPolicy;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.control.ControlContext;
import org.siskindyke.kernel.control.ControlListener;
import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.control.PlacementDecision;
import org.siskindyke.kernel.crash.SuspectReport;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.GrantDecision;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.route.CallerLimits;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.admin.InstanceStatus;
import org.siskindyke.runtime.call.CallMetrics;
import org.siskindyke.runtime.call.CallReader;
import org.siskindyke.runtime.call.CallRouter;
import org.siskindyke.runtime.call.CrashGuard;
import org.siskindyke.runtime.call.LocalDispatcher;
import org.siskindyke.runtime.call.LocalTarget;
import org.siskindyke.runtime.call.MemberServingState;
import org.siskindyke.runtime.call.SliceMeter;
import org.siskindyke.runtime.http.Http;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.runtime.peer.HttpPeerMessenger;
import org.siskindyke.runtime.peer.Incarnation;
import org.siskindyke.runtime.peer.LinkFaults;
import org.siskindyke.runtime.peer.PeerClients;
import org.siskindyke.runtime.peer.PeerForwarder;
import org.siskindyke.runtime.peer.PeerServer;
import org.siskindyke.runtime.traffic.Cancellable;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.HttpListener;
import org.siskindyke.runtime.traffic.TrafficLoop;

/**
 * A router process: its servers, its control thread and its current incarnation as a member. It is the router of the
 * command-line tool, with service documents and an administration API; {@link InstanceRouter} is that of the users'
 * platform.
 */
public final class RouterProcess implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(RouterProcess.class.getName());
    private static final long TICK_MILLIS = 25;
    private static final long TRAFFIC_TICK_MILLIS = 50;
    private static final long REJOIN_DELAY_MILLIS = 200;
    private static final long LIMITS_LOG_INTERVAL_MILLIS = 5_000;
    private static final long NOT_READY_RETRY_MILLIS = 1_000;
    /** Limits on callers; a document has none of its own. */
    private static final CallerLimits CALLER_LIMITS =
            new CallerLimits(65_536, CallReader.MAX_BODY_BYTES, 30_000, 120_000);

    private final RouterSettings settings;
    private final TableService table;
    private final MonotonicClock clock = SystemMonotonicClock.INSTANCE;
    private final ControlThread control;
    private final LinkFaults faults = new LinkFaults();
    private final PeerClients peers = new PeerClients(faults);
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final CallMetrics metrics = new CallMetrics(registry);
    private final CrashDetector crashDetector;
    private final InvariantMonitor invariants;
    private final LocalDispatcher dispatcher;
    private final LocalTargets targets;
    private final SliceMeter meter;
    private final CompletableFuture<Void> left = new CompletableFuture<>();
    private final List<HttpServerContext> servers = new ArrayList<>();
    private final TrafficLoop traffic = new TrafficLoop();
    private final ThreadWatches watches = new ThreadWatches(clock, TRAFFIC_TICK_MILLIS, RouterProcess::logEvent);
    private HttpListener callers;
    private volatile Incarnation incarnation;
    private MemberAddress address;
    private boolean leaving;

    /**
     * Creates a router that has not started.
     *
     * @param settings settings of the router
     * @param table the table service
     */
    public RouterProcess(RouterSettings settings, TableService table) {
        this.settings = settings;
        this.control = new ControlThread("control-" + settings.instance());
        this.table = control.confine(table);
        this.crashDetector =
                new CrashDetector(clock, control, this::onTargetUnreachable, () -> incarnation.controller());
        this.invariants = new InvariantMonitor(crashDetector);
        this.dispatcher = new LocalDispatcher(
                clock,
                System::currentTimeMillis,
                invariants,
                new CrashGuard(
                        clock,
                        () -> incarnation.controller().view(),
                        () -> incarnation.controller().row().id()));
        this.meter = new SliceMeter(
                clock,
                service -> dispatcher
                        .target(service)
                        .map(t -> OptionalInt.of(t.slots().slots()))
                        .orElse(OptionalInt.empty()));
        this.dispatcher.setMeter(meter);
        this.targets = new LocalTargets(clock, control, dispatcher);
    }

    /** Starts the servers and starts to join; returns before the member has joined. */
    public void start() {
        TargetPolicy targetPolicy = Plugins.named(TargetPolicy.class, settings.targetPolicy(), TargetPolicy::name);
        CallRouter router = new CallRouter(
                clock,
                this::servingState,
                dispatcher,
                new PeerForwarder(peers, clock),
                targetPolicy,
                () -> control.execute(() -> incarnation.controller().refresh()));
        CallerServer callerServer =
                new CallerServer(traffic, new CallReader(clock), router, this::servingState, metrics);
        PeerServer peerServer =
                new PeerServer(clock, control, () -> incarnation, dispatcher, () -> Json.write(status()));
        RouterAdminOperations adminOperations =
                new RouterAdminOperations(this, control, clock, table, peers, faults, registry, settings);
        callers = new HttpListener(traffic, clock, () -> CALLER_LIMITS, whenReady(callerServer), callerServer);
        InetSocketAddress callerAddress = callers.listen(new InetSocketAddress(settings.host(), settings.callerPort()));
        HttpServerContext peerContext =
                startServer(settings.peerPort(), Http.Protocol.HTTP_2, whenReady(peerServer::handle));
        HttpServerContext adminContext =
                startServer(settings.adminPort(), Http.Protocol.HTTP_1_1, whenReady(adminOperations.server()::handle));
        address = new MemberAddress(
                settings.host(), Http.portOf(peerContext), callerAddress.getPort(), Http.portOf(adminContext));
        incarnation = newIncarnation();
        control.scheduleWithFixedDelay(this::tick, TICK_MILLIS);
        traffic.scheduleWithFixedDelay(watches::onTrafficTick, TRAFFIC_TICK_MILLIS);
        CallerMetrics.register(registry, callers, traffic.callerMemory());
        CallerLimitsLog limitsLog = new CallerLimitsLog(RouterProcess::logEvent, callers, traffic.callerMemory());
        traffic.scheduleWithFixedDelay(limitsLog::flush, LIMITS_LOG_INTERVAL_MILLIS);
        LOGGER.log(
                Level.INFO,
                "event=router-started instance=" + settings.instance() + " failureDomain=" + settings.failureDomain()
                        + " callerPort=" + address.callerPort() + " peerPort=" + address.peerPort() + " adminPort="
                        + address.adminPort());
    }

    private static void logEvent(String event, Object... fields) {
        StringBuilder line = new StringBuilder("event=").append(event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
        }
        LOGGER.log(Level.WARNING, line.toString());
    }

    private HttpServerContext startServer(
            int port, Http.Protocol protocol, io.servicetalk.http.api.HttpService service) {
        HttpServerContext context = Http.serve(settings.host(), port, protocol, service);
        servers.add(context);
        return context;
    }

    private HttpExchange.Handler whenReady(CallerServer server) {
        return (request, responder) -> {
            if (incarnation == null) {
                responder.respond(server.refuseUnread(Refusal.NO_LEASE, NOT_READY_RETRY_MILLIS));
                return Cancellable.NONE;
            }
            return server.handle(request, responder);
        };
    }

    private io.servicetalk.http.api.HttpService whenReady(io.servicetalk.http.api.HttpService service) {
        return (context, request, factory) -> incarnation == null
                ? io.servicetalk.concurrent.api.Single.succeeded(factory.serviceUnavailable())
                : service.handle(context, request, factory);
    }

    /** Returns the address and the actual ports that the router listens on; null before the start. */
    public MemberAddress address() {
        return address;
    }

    /** Returns the number of invariant violations since the start. */
    public long invariantViolations() {
        return invariants.violations();
    }

    /**
     * Returns a future that completes when the router has left, or was declared dead while leaving, and has answered
     * the requests that it read until then; or when it was closed.
     */
    public CompletableFuture<Void> left() {
        return left;
    }

    /** Handles the announcement of a backend server beside this router; ignored while the router leaves. */
    public void announce(TargetAnnouncement announcement) {
        control.execute(() -> {
            crashDetector.onAnnounced(announcement);
            if (!leaving) {
                targets.announce(announcement, incarnation.controller());
            }
        });
    }

    /** Stops new calls to the backend server of a service and hands its slices over. */
    public void withdraw(ServiceName service) {
        control.execute(() -> targets.withdraw(service, incarnation.controller()));
    }

    /** Returns the announcement of a service's backend server, if any. Called on the control thread. */
    Optional<TargetAnnouncement> target(ServiceName service) {
        return targets.find(service);
    }

    /** Returns the current incarnation; null before the start. */
    Incarnation incarnation() {
        return incarnation;
    }

    /**
     * Hands all slices over, leaves the cluster and answers the requests that callers have sent until then.
     *
     * @return the future of {@link #left()}
     */
    public CompletableFuture<Void> leave() {
        control.execute(() -> {
            leaving = true;
            LOGGER.log(Level.INFO, "event=router-leaving instance=" + settings.instance());
            incarnation.controller().leave();
        });
        return left;
    }

    @Override
    public void close() {
        releaseResponses();
        control.close();
        servers.forEach(context -> context.closeAsync().subscribe());
        traffic.close();
        dispatcher.targets().forEach(LocalTarget::close);
        peers.close();
        left.complete(null);
    }

    /** Reads no further requests, and completes {@link #left} once those that were read are answered. */
    private void answerCallers() {
        traffic.execute(() -> {
            callers.close();
            completeOnceAnswered();
        });
    }

    private void completeOnceAnswered() {
        if (callers.unanswered() == 0) {
            left.complete(null);
        } else {
            traffic.schedule(this::completeOnceAnswered, TICK_MILLIS);
        }
    }

    /** Lets responses leave that are ready but wait for the responses to earlier requests. */
    private void releaseResponses() {
        if (callers == null) {
            return;
        }
        try {
            new ResponseDrain(traffic, clock, callers).release(connections -> {});
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private MemberServingState servingState() {
        return incarnation.servingState();
    }

    private void tick() {
        watches.onControlTick();
        Incarnation current = incarnation;
        current.controller().tick();
        targets.tick(current.controller(), current.servingState());
        dispatcher.expire(current.servingState());
        meter.updateAverages();
        if (leaving && current.servingState().callsInProgress() == 0) {
            current.controller().onTrafficIdle();
        }
    }

    private void onTargetUnreachable(ServiceName service) {
        targets.onUnreachable(service, incarnation.controller());
    }

    private Incarnation newIncarnation() {
        long incarnationNumber =
                System.currentTimeMillis() * 1_000 + ThreadLocalRandom.current().nextInt(1_000);
        MemberId self = MemberId.of(settings.instance(), incarnationNumber);
        ClusterView view = incarnation == null
                ? new ClusterView()
                : new ClusterView(
                        incarnation.controller().view().suspects(),
                        incarnation.controller().view().evacuations());
        MemberServingState servingState =
                new MemberServingState(self, view, clock, control::schedule, targets::frozenUntilMillis);
        ControlContext context = new ControlContext(
                self,
                settings.control(),
                clock,
                new Random(incarnationNumber),
                table,
                new HttpPeerMessenger(peers, control),
                new Listener(self, servingState),
                view);
        MemberRow template = new MemberRow(
                self,
                settings.instance(),
                settings.failureDomain(),
                address,
                MemberState.ALIVE,
                0,
                MemberId.TABLE,
                targets.announcements(),
                ProcessProbe.self(),
                null,
                List.of());
        SliceBalancePolicy policy =
                Plugins.named(SliceBalancePolicy.class, settings.slicePolicy(), SliceBalancePolicy::name);
        MemberController member = new MemberController(context, template, servingState, meter, policy);
        member.setPredecessorFinder(this::findPredecessor);
        return new Incarnation(member, servingState);
    }

    private Optional<MemberRow> findPredecessor(ClusterView view) {
        return view.members().serving().stream()
                .filter(m -> m.instance().equals(settings.instance()))
                .filter(m -> ProcessProbe.hasEnded(m.process()))
                .findFirst();
    }

    /** Returns the status of this instance. Called on the control thread. */
    InstanceStatus status() {
        MemberController member = incarnation.controller();
        ClusterView view = member.view();
        long nowMillis = clock.nowMillis();
        Map<String, Long> documents = new TreeMap<>();
        Map<String, Integer> slices = new TreeMap<>();
        view.documents().all().forEach(a -> {
            ServiceName service = a.document().service();
            documents.put(service.value(), a.documentRevision());
            int owned = view.ownershipRow(service, member.row().id()).slices().size();
            if (owned > 0) {
                slices.put(service.value(), owned);
            }
        });
        List<InstanceStatus.TargetStatus> targetStatus = new ArrayList<>();
        dispatcher.targets().forEach(t -> targetStatus.add(targetStatus(t)));
        long lastTableMillis = member.lastTableAnswerMillis();
        return new InstanceStatus(
                settings.instance().value(),
                member.row().id().value(),
                settings.failureDomain().value(),
                member.isJoined() ? member.row().state().name() : "JOINING",
                member.row().grantor().value(),
                Math.max(0, servingState().hasLease() ? servingState().leaseEndMillis() - nowMillis : 0),
                view.replica().version(),
                lastTableMillis == Long.MIN_VALUE ? -1 : nowMillis - lastTableMillis,
                documents,
                slices,
                targetStatus,
                member.granteeCount(),
                member.releasingSlices(),
                member.pendingWrites(),
                servingState().callsInProgress(),
                metrics.refusalsByCause(),
                view.suspects().convictedCount(nowMillis),
                invariants.violations());
    }

    private static InstanceStatus.TargetStatus targetStatus(LocalTarget target) {
        return new InstanceStatus.TargetStatus(
                target.announcement().service().value(),
                target.announcement().target().value(),
                target.isAccepting(),
                target.announcement().checksGrants(),
                target.slots().used(),
                target.slots().maxUsed(),
                target.slots().waiting());
    }

    /** Logs the events of a member and passes changes of its lease on to the traffic threads. */
    private final class Listener implements ControlListener {
        private final MemberId self;
        private final MemberServingState servingState;

        private Listener(MemberId self, MemberServingState servingState) {
            this.self = self;
            this.servingState = servingState;
        }

        @Override
        public void onLeaseChanged(long leaseEndMillis) {
            servingState.setLeaseEndMillis(leaseEndMillis);
            if (leaseEndMillis != Long.MIN_VALUE) {
                targets.renewGrants(servingState);
            }
        }

        @Override
        public void onJoined(MemberId grantor) {
            LOGGER.log(Level.INFO, "event=joined member=" + self + " grantor=" + grantor);
        }

        @Override
        public void onDeclaredDead(MemberId declaredBy) {
            LOGGER.log(Level.WARNING, "event=declared-dead member=" + self + " by=" + declaredBy);
            if (!leaving) {
                control.schedule(() -> incarnation = newIncarnation(), REJOIN_DELAY_MILLIS);
            } else {
                answerCallers();
            }
        }

        @Override
        public void onLeft() {
            LOGGER.log(Level.INFO, "event=left member=" + self);
            answerCallers();
        }

        @Override
        public void onGrantorReplaced(MemberId before, MemberId after) {
            LOGGER.log(Level.INFO, "event=grantor-replaced member=" + self + " before=" + before + " after=" + after);
        }

        @Override
        public void onRenewalRefused(MemberId grantor, GrantDecision decision) {
            LOGGER.log(
                    Level.DEBUG,
                    "event=renewal-refused member=" + self + " grantor=" + grantor + " decision=" + decision);
        }

        @Override
        public void onConvicted(SuspectReport evidence) {
            LOGGER.log(
                    Level.WARNING,
                    "event=request-convicted member=" + self + " fingerprint=" + evidence.request() + " crashes="
                            + evidence.crashes());
        }

        @Override
        public void onRowIgnored(RowPath path, SiskindykeException cause) {
            LOGGER.log(Level.WARNING, "event=row-ignored row=" + path + " cause=" + cause.getMessage());
        }

        @Override
        public void onPlacement(PlacementDecision decision) {
            DecisionLog.placement(self, decision);
        }

        @Override
        public void onInternalError(RuntimeException exception) {
            LOGGER.log(Level.ERROR, "event=control-failure member=" + self, exception);
            if (exception instanceof SiskindykeException coded
                    && coded.code() == org.siskindyke.kernel.error.ErrorCode.INVARIANT_VIOLATED) {
                invariants.report(exception.getMessage());
            }
        }
    }
}
