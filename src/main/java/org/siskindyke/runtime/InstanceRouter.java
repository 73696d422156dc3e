package org.siskindyke.runtime;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;

import org.siskindyke.kernel.balance.LocalityAwareSelector;
import org.siskindyke.kernel.balance.RelieveOverloadPolicy;
import org.siskindyke.kernel.balance.ScaledTargetChooser;
import org.siskindyke.kernel.balance.StaleLoadSelector;
import org.siskindyke.kernel.balance.TargetChooser;
import org.siskindyke.kernel.call.PriorityAdmission;
import org.siskindyke.kernel.call.RankedAdmission;
import org.siskindyke.kernel.call.SharedRetryBudget;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.control.ConfigurationText;
import org.siskindyke.kernel.control.ControlContext;
import org.siskindyke.kernel.control.ControlSettings;
import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.grant.GrantReply;
import org.siskindyke.kernel.grant.TargetGrants;
import org.siskindyke.kernel.grant.TargetHeartbeat;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.LeaseSettings;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.place.Evacuation;
import org.siskindyke.kernel.place.EvacuationOrder;
import org.siskindyke.kernel.place.EvacuationOrders;
import org.siskindyke.kernel.place.Topology;
import org.siskindyke.kernel.route.RouteTable;
import org.siskindyke.kernel.route.RoutingConfiguration;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.CrashGuard;
import org.siskindyke.runtime.call.SliceMeter;
import org.siskindyke.runtime.traffic.BackendDispatcher;
import org.siskindyke.runtime.traffic.CallDialect;
import org.siskindyke.runtime.traffic.CallOutcome;
import org.siskindyke.runtime.traffic.CallerRequestHandler;
import org.siskindyke.runtime.traffic.Cancellable;
import org.siskindyke.runtime.traffic.ExplainHandler;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.HttpListener;
import org.siskindyke.runtime.traffic.PeerNetwork;
import org.siskindyke.runtime.traffic.RetryDecision;
import org.siskindyke.runtime.traffic.TargetChoice;
import org.siskindyke.runtime.traffic.TrafficLoop;
import org.siskindyke.runtime.traffic.UnsentResponses;

/**
 * The router beside one backend server. It routes the requests of callers, owns slices as a member of the cluster and
 * replies to the backend server's heartbeats with grants of these slices. It runs on the users' platform; {@link
 * RouterProcess} is the router of the command-line tool.
 */
public final class InstanceRouter {
    /**
     * Number of slices of a divided service, each a range of 8 adjacent keys: the smallest part that a range of hot
     * keys is split into. A block of 60 keys that gets 280 calls a second, with 45 a server, needs parts of about 10.
     */
    private static final int SLICE_COUNT = 8_192;
    /**
     * Adjacent slices that are assigned together unless they are split; a 4 KiB reply to a heartbeat has room for the
     * 128 blocks of a service.
     */
    private static final int SLICES_PER_BLOCK = 64;

    private static final long TICK_MILLIS = 50;
    /** Delay of metrics after a start, so that setting them up does not delay serving, which begins within 2 s. */
    private static final long METRICS_START_DELAY_MILLIS = 4_000;

    private static final long REJOIN_DELAY_MILLIS = 200;
    /**
     * Part of the lease beyond two heartbeat intervals, so that a grant outlasts one lost heartbeat and a late renewal.
     */
    private static final long LEASE_BEYOND_HEARTBEATS_MILLIS = 1_500;

    private static final long LEASE_MARGIN_MILLIS = 200;
    private static final long RENEWAL_INTERVAL_MILLIS = 500;
    private static final long REPLACE_GRANTOR_AFTER_MILLIS = 1_300;
    private static final long TABLE_POLL_INTERVAL_MILLIS = 100;
    private static final long GOSSIP_INTERVAL_MILLIS = 700;
    private static final long PLAN_INTERVAL_MILLIS = 500;
    private static final long OUTAGE_BOUND_MILLIS = 600_000;
    /** Maximum duration of a grant in heartbeat intervals, so that one lost heartbeat does not end it. */
    private static final double HEARTBEATS_PER_GRANT = 2.8;
    /**
     * Time in which the platform notices that a router is not ready: it checks each second and acts on the second
     * failed check.
     */
    private static final long UNREADY_DETECTION_MILLIS = 2_300;

    /** Part of the grace period in which the calls that the platform is about to cut are logged. */
    private static final long STOP_MARGIN_MILLIS = 200;
    /**
     * How long before the end of the grace period {@link #stop} withdraws the requests of running requests that no
     * backend server has begun to run.
     */
    private static final long WITHDRAW_BEFORE_END_MILLIS = 1_000;

    /**
     * Part of the grace period, at its end, in which {@link #stop} gives up requests that hold back ready responses; at
     * most {@link #WITHDRAW_BEFORE_END_MILLIS}. The platform accepts that runs are broken off in the last sixth.
     */
    private static final int RELEASE_GRACE_DIVISOR = 7;

    /** Requests, and connections, that are logged one by one when the router ends before all is answered. */
    private static final int MAX_UNANSWERED_LOGGED = 100;

    private volatile InstanceSettings settings;
    private final CallDialect dialect;
    private final ActiveConfiguration configuration;
    private final MonotonicClock clock = SystemMonotonicClock.INSTANCE;
    private final EventLog log;
    private final TrafficLoop traffic;
    private final ControlThread control;
    private final TableService table;
    private final SliceMeter meter;
    private final TargetCrashes crashes;
    private final BackendDispatcher backend;
    private final PeerNetwork peers;
    private final CallerRequestHandler callerRequests;
    private final TargetController targets;
    private final RequestLog requestLog;
    private final RouterMetrics metrics = new RouterMetrics();
    private final HttpListener callers;
    private final ResponseDrain responses;
    private final SuspensionDetector suspensionDetector;
    private final ThreadWatches watches;
    private volatile MemberController member;
    private volatile List<EvacuationOrder> evacuations = List.of();
    private volatile boolean configured;
    private volatile boolean reader;
    private volatile boolean watchesConfiguration = true;
    private volatile boolean stopping;
    /** Runs of adjacent slices that this member owns. */
    private volatile int sliceRuns;

    /**
     * Creates a router that does not listen yet.
     *
     * @param settings settings of the router
     * @param traffic the event loop that handles its traffic
     * @param table the table service
     * @param dialect header fields of callers and backend servers
     * @param decoder decodes configurations; throws {@code SiskindykeException} with code {@code INVALID_DOCUMENT}
     * @param log receives events
     */
    public InstanceRouter(
            InstanceSettings settings,
            TrafficLoop traffic,
            TableService table,
            CallDialect dialect,
            Function<ConfigurationText, RoutingConfiguration> decoder,
            EventLog log) {
        this.settings = settings;
        this.traffic = traffic;
        this.dialect = dialect;
        this.log = log;
        this.configuration = new ActiveConfiguration(decoder, SLICE_COUNT, this::onConfigurationApplied, log);
        this.control = new ControlThread("control-" + settings.instance());
        this.table = control.confine(table);
        this.suspensionDetector = new SuspensionDetector(clock, System::currentTimeMillis);
        this.watches = new ThreadWatches(clock, TICK_MILLIS, log::event);
        this.meter = new SliceMeter(clock, service -> backendSlots(service));
        CrashGuard crashGuard =
                new CrashGuard(clock, this::view, () -> member.row().id());
        this.crashes = newTargetCrashes();
        this.backend = new BackendDispatcher(
                traffic,
                clock,
                dialect,
                meter,
                (service, slice) -> view().ownership()
                        .owner(slice)
                        .filter(owner -> member.row().id().equals(owner.member()))
                        .isPresent(),
                new BackendDispatcher.Policies(
                        crashGuard,
                        settings.deployment().rankedAdmission() ? RankedAdmission::new : PriorityAdmission::new),
                crashes,
                log);
        this.peers = new PeerNetwork(traffic, control, clock, backend, log);
        this.requestLog = new RequestLog(log, clock);
        this.callerRequests = new CallerRequestHandler(
                traffic,
                clock,
                dialect,
                this::view,
                () -> member.row().id(),
                peers,
                backend,
                new CallerRequestHandler.Policies(
                        settings.service(),
                        newTargetChooser(),
                        this::onTargetChosen,
                        this::newBudget,
                        crashGuard,
                        settings.deployment().rankedAdmission(),
                        () -> this.settings.bounds().drain(),
                        settings.deployment().topology(),
                        settings.deployment().evacuation(),
                        this::onRetryDecided,
                        this::onRequestEnded,
                        requestLog::onAbandoned));
        this.targets = newTargetController();
        this.callers = new HttpListener(traffic, clock, configuration::limits, callerRequests);
        this.responses = new ResponseDrain(traffic, clock, callers);
    }

    private TargetCrashes newTargetCrashes() {
        return new TargetCrashes(
                clock,
                control,
                () -> member,
                () -> targets().onUnreachable(clock.nowMillis()),
                target -> targets().onLeavingAnnounced(target, member),
                log);
    }

    private TargetChooser newTargetChooser() {
        Topology topology = settings.deployment().topology();
        return new ScaledTargetChooser(
                new LocalityAwareSelector(settings.failureDomain()),
                new StaleLoadSelector(settings.failureDomain(), topology, new SplittableRandom()),
                topology);
    }

    private TargetController newTargetController() {
        TargetGrants grants = new TargetGrants(SLICE_COUNT, maxGrantMillis(), clock.nowMillis());
        return new TargetController(settings, clock, System::currentTimeMillis, traffic, backend, crashes, log, grants);
    }

    private int convictedRequests() {
        return view().suspects().convictedCount(clock.nowMillis());
    }

    private int membersServing() {
        return view().members().serving().size();
    }

    private OptionalInt backendSlots(ServiceName service) {
        return backend.slots(service);
    }

    private TargetController targets() {
        return targets;
    }

    private long maxGrantMillis() {
        long byHeartbeats = (long) (settings.heartbeat().toMillis() * HEARTBEATS_PER_GRANT);
        return Math.min(byHeartbeats, settings.bounds().maxGrantDuration().toMillis());
    }

    private SharedRetryBudget newBudget(IntSupplier routers) {
        InstanceSettings.Bounds bounds = settings.bounds();
        return new SharedRetryBudget(
                bounds.retryBudgetRatio(),
                bounds.retryBudgetExtra(),
                routers,
                bounds.retryBudgetWindow().toMillis());
    }

    /**
     * Starts listening for callers and other routers and starts to join; returns before the member has joined.
     *
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code ADDRESS_UNAVAILABLE}
     */
    public void start() {
        member = newMember();
        peers.attach(member);
        peers.listen(settings.addresses().peersBind());
        callers.listen(settings.addresses().callers());
        control.scheduleWithFixedDelay(this::tick, TICK_MILLIS);
        traffic.scheduleWithFixedDelay(this::tickTraffic, TICK_MILLIS);
        traffic.scheduleWithFixedDelay(
                () -> requestLog.flush(traffic.takeMaxDelayMillis(), backend.admissionCounts()),
                TimeUnit.SECONDS.toMillis(5));
        CallerLimitsLog limitsLog = new CallerLimitsLog(log::event, callers, traffic.callerMemory());
        traffic.scheduleWithFixedDelay(limitsLog::flush, TimeUnit.SECONDS.toMillis(5));
        traffic.schedule(this::startMetrics, METRICS_START_DELAY_MILLIS);
        log.event(
                "router-started",
                "failureDomain",
                settings.failureDomain(),
                "service",
                settings.service(),
                "callers",
                settings.addresses().callers(),
                "transport",
                traffic.transport());
    }

    private void startMetrics() {
        metrics.start(
                backend::slotsUsed,
                backend::waiting,
                backend::responsesDropped,
                log::dropped,
                this::convictedRequests,
                this::membersServing,
                configuration::version,
                table::era);
        metrics.gauge(
                "siskindyke.evacuated.domains",
                () -> evacuations.stream().filter(EvacuationOrder::evacuated).count());
        metrics.gauge("siskindyke.target.cold", () -> backend.isCold() ? 1 : 0);
        metrics.gauge("siskindyke.slice.runs", () -> sliceRuns);
        metrics.gauge("siskindyke.traffic.stalls", watches::trafficStalls);
        metrics.gauge("siskindyke.control.stalls", watches::controlStalls);
        metrics.registerCallers(callers, traffic.callerMemory());
        if (settings.deployment().rankedAdmission()) {
            metrics.registerAdmission(backend::admissionCounts);
        }
    }

    private void onRequestEnded(CallOutcome outcome) {
        requestLog.onEnded(outcome);
        metrics.onEnded(outcome);
    }

    private void onTargetChosen(TargetChoice choice) {
        requestLog.onTargetChosen(choice);
        metrics.onTargetChosen(choice);
    }

    private void onRetryDecided(RetryDecision decision) {
        requestLog.onRetryDecided(decision);
        metrics.onRetryDecided(decision);
    }

    /** Returns a handler for operators: metrics, and explanations where requests would go. */
    public HttpExchange.Handler administration() {
        return new ExplainHandler(callerRequests::explain, metrics.handler());
    }

    /** Returns whether the router has a configuration and is not stopping; for any thread. */
    public boolean isReady() {
        return configured && !stopping;
    }

    /**
     * Applies changed settings. Only {@link InstanceSettings#bounds()} is replaced; any other change is logged as one
     * that needs a restart. Of the bounds, the drain time and the grace period take effect at once, the retry budget
     * for services that have had no request yet, and the maximum duration of a grant after a restart only.
     *
     * @param changed the settings as they are now
     */
    public void reload(InstanceSettings changed) {
        InstanceSettings current = settings;
        boolean isChanged = !changed.equals(current);
        log.event("settings-reloaded", "changed", isChanged, "needRestart", current.needsRestartFor(changed));
        settings = current.withBounds(changed.bounds());
        control.execute(() -> targets.setDrain(changed.bounds().drain()));
    }

    /** Returns whether this router is one of those in its failure domain that read the table; for any thread. */
    public boolean isReader() {
        return reader;
    }

    /**
     * Returns whether this router has to watch the table for configurations, since it is a reader or they may not
     * arrive from other routers; for any thread.
     */
    public boolean watchesConfiguration() {
        return watchesConfiguration;
    }

    /** Passes on a configuration read from the table; it is applied if newer than the present one. For any thread. */
    public void offerConfiguration(ConfigurationText offered) {
        control.execute(() -> member.onConfiguration(offered));
    }

    /**
     * Handles a heartbeat of the backend server beside this router. May be called on any thread.
     *
     * @param heartbeat the heartbeat
     * @param address address at which the backend server accepts requests
     * @param onReply called with the reply on the traffic loop
     * @param onRefused called on the traffic loop, instead, where the heartbeat names no backend server to use, or says
     *     that it leaves and this could not be recorded in time
     */
    public void onHeartbeat(
            TargetHeartbeat heartbeat,
            InetSocketAddress address,
            Consumer<GrantReply> onReply,
            Consumer<SiskindykeException> onRefused) {
        control.execute(() -> {
            checkSuspension();
            try {
                GrantReply reply =
                        targets.onHeartbeat(heartbeat, address, member, configuration.settings(heartbeat.service()));
                targets.acknowledge(
                        heartbeat,
                        member,
                        () -> targets.reply(
                                heartbeat,
                                reply,
                                () -> member,
                                () -> configuration.settings(heartbeat.service()),
                                granted -> traffic.execute(() -> onReply.accept(granted))),
                        error -> traffic.execute(() -> onRefused.accept(error)));
            } catch (SiskindykeException e) {
                traffic.execute(() -> onRefused.accept(e));
            }
        });
    }

    /**
     * Handles the deregistration of the backend server, which is about to end but may still serve for a while. May be
     * called on any thread.
     *
     * @param target name of the backend server
     * @param onRecorded runs on the traffic loop once the deregistration is recorded in the table
     * @param onUnrecorded called on the traffic loop, instead, where it could not be recorded in time
     */
    public void onDeregister(TargetName target, Runnable onRecorded, Consumer<SiskindykeException> onUnrecorded) {
        control.execute(() -> targets.onDeregister(
                target,
                member,
                () -> traffic.execute(onRecorded),
                error -> traffic.execute(() -> onUnrecorded.accept(error))));
    }

    private void onConfigurationApplied(RoutingConfiguration applied) {
        for (ServiceDocument document : configuration.documents(applied)) {
            member.view().acceptDocument(document, SLICES_PER_BLOCK, applied.version(), clock.nowMillis());
        }
        targets.onConfiguration(configuration::settings);
        RouteTable routes = new RouteTable(applied);
        traffic.execute(() -> {
            callerRequests.setRoutes(routes);
            configured = true;
        });
    }

    private void onEvacuations(EvacuationOrders orders) {
        Evacuation inForce = orders.inForce();
        evacuations = orders.all(clock.nowMillis());
        log.event(
                "evacuations-in-force", "failureDomains", inForce.sinceMillis().keySet());
        targets.setEvacuation(inForce, member);
        traffic.execute(() -> callerRequests.setEvacuation(inForce));
    }

    /** Returns the known evacuation orders, in force and removed; for any thread. */
    public List<EvacuationOrder> evacuations() {
        return evacuations;
    }

    /** Passes on evacuation orders read from the table; those newer than the known ones apply. For any thread. */
    public void offerEvacuations(List<EvacuationOrder> offered) {
        control.execute(() -> member.onEvacuations(offered));
    }

    private ClusterView view() {
        return member.view();
    }

    private void tickTraffic() {
        watches.onTrafficTick();
        backend.tick();
    }

    private void tick() {
        watches.onControlTick();
        checkSuspension();
        targets.tick(member);
        member.tick();
        reader = member.isReader();
        watchesConfiguration = member.watchesConfiguration();
        meter.updateAverages();
        sliceRuns = member.view()
                .ownershipRow(settings.service(), member.row().id())
                .slices()
                .size();
    }

    private void checkSuspension() {
        if (suspensionDetector.wasSuspended()) {
            log.event("suspension-noticed");
            member.onSuspended();
        }
    }

    private MemberController newMember() {
        long incarnationNumber = System.currentTimeMillis() * TimeUnit.SECONDS.toMillis(1)
                + ThreadLocalRandom.current().nextInt(1_000);
        MemberId self = MemberId.of(settings.instance(), incarnationNumber);
        InstanceSettings.Addresses addresses = settings.addresses();
        // This router has no administration API; the readiness port takes the place of its port.
        MemberAddress address = new MemberAddress(
                addresses.peers().getHostString(),
                addresses.peers().getPort(),
                addresses.callers().getPort(),
                addresses.readiness().getPort());
        ControlContext context = new ControlContext(
                self,
                controlSettings(),
                clock,
                new Random(incarnationNumber),
                table,
                peers,
                new MemberEventListener(
                        self,
                        log,
                        this::forgetEndedMembers,
                        this::rejoinSoon,
                        configuration::apply,
                        this::onEvacuations),
                member == null ? new ClusterView() : new ClusterView(view().suspects(), view().evacuations()));
        MemberRow template = new MemberRow(
                self,
                settings.instance(),
                settings.failureDomain(),
                address,
                MemberState.ALIVE,
                0,
                MemberId.TABLE,
                targets.announcements(),
                null,
                null,
                targets.departures());
        MemberController created =
                new MemberController(context, template, targets.sliceTraffic(), meter, new RelieveOverloadPolicy());
        created.setPredecessorFinder(view -> findPredecessor(view, self, address));
        return created;
    }

    /** Returns an earlier incarnation of this router; it has ended, since an instance runs one router at a time. */
    private Optional<MemberRow> findPredecessor(ClusterView view, MemberId self, MemberAddress address) {
        return view.members().serving().stream()
                .filter(m -> m.instance().equals(settings.instance()))
                .filter(m -> m.address().equals(address) && !m.id().equals(self))
                .findFirst();
    }

    private ControlSettings controlSettings() {
        long leaseMillis = 2 * settings.heartbeat().toMillis() + LEASE_BEYOND_HEARTBEATS_MILLIS;
        LeaseSettings lease = new LeaseSettings(
                leaseMillis, LEASE_MARGIN_MILLIS, RENEWAL_INTERVAL_MILLIS, REPLACE_GRANTOR_AFTER_MILLIS);
        return new ControlSettings(
                lease,
                TABLE_POLL_INTERVAL_MILLIS,
                GOSSIP_INTERVAL_MILLIS,
                PLAN_INTERVAL_MILLIS,
                OUTAGE_BOUND_MILLIS,
                true);
    }

    /**
     * Stops the router: reports it as not ready and lets its member leave unless the backend server stays. Once the
     * platform has noticed, takes no more calls for the backend server but for those that running calls wait for, and
     * waits until all requests that were read are answered. From the middle of the grace period on, requests that no
     * backend server has begun to run are refused, since their runs might be cut, but for those of running requests.
     * Shortly before the end, requests that hold back ready responses on their connections are given up. Other runs are
     * not cut here: the platform ends the process if it is still there at the end. Blocks the calling thread.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void stop() throws InterruptedException {
        long startMillis = clock.nowMillis();
        long graceMillis = settings.bounds().grace().toMillis();
        long endMillis = startMillis + graceMillis;
        stopping = true;
        log.event("router-stopping");
        traffic.execute(callers::startClosing);
        control.execute(() -> targets.onStopping(member));
        TimeUnit.MILLISECONDS.sleep(UNREADY_DETECTION_MILLIS);
        traffic.execute(() -> {
            callers.closeIdle();
            backend.startStopping(endMillis - WITHDRAW_BEFORE_END_MILLIS);
        });
        responses.awaitAnswered(startMillis + graceMillis / 2, backend::unansweredCallers);
        traffic.execute(() -> callerRequests.withdrawCallers(endMillis));
        responses.awaitAnswered(endMillis - WITHDRAW_BEFORE_END_MILLIS, backend::unansweredCallers);
        traffic.execute(() -> {
            callerRequests.withdrawAll();
            backend.refuseNested();
        });
        long releaseMillis = Math.min(WITHDRAW_BEFORE_END_MILLIS, graceMillis / RELEASE_GRACE_DIVISOR);
        responses.awaitAnswered(endMillis - releaseMillis, backend::unanswered);
        responses.release(this::logUnsent);
        responses.awaitAnswered(endMillis - STOP_MARGIN_MILLIS, backend::unanswered);
        traffic.execute(this::logUnanswered);
        log.event(
                "router-stopped",
                "tookMillis",
                clock.nowMillis() - startMillis,
                "unanswered",
                responses.unanswered(backend::unanswered));
        responses.awaitAnswered(endMillis + graceMillis, backend::unanswered);
        traffic.execute(callers::close);
    }

    private void logUnanswered() {
        logUnsent(callers.unsentResponses());
        callerRequests.unanswered().stream().limit(MAX_UNANSWERED_LOGGED).forEach(requestLog::onUnanswered);
        List<String> running = backend.running();
        if (!running.isEmpty()) {
            log.event("calls-cut-by-stop", "requests", running);
        }
    }

    private void logUnsent(List<UnsentResponses> connections) {
        connections.stream().limit(MAX_UNANSWERED_LOGGED).forEach(requestLog::onUnsent);
    }

    /** Returns a handler that responds with status 200 if the router is ready and 503 otherwise. */
    public HttpExchange.Handler readiness() {
        return (request, responder) -> {
            responder.respond(HttpExchange.Response.empty(isReady() ? 200 : 503));
            return Cancellable.NONE;
        };
    }

    /** Drops the loads that were observed at members which have ended. */
    private void forgetEndedMembers() {
        Set<MemberId> serving =
                view().members().serving().stream().map(MemberRow::id).collect(Collectors.toCollection(HashSet::new));
        traffic.execute(() -> callerRequests.retainMembers(serving));
    }

    private void rejoinSoon() {
        if (!stopping) {
            control.schedule(this::rejoin, REJOIN_DELAY_MILLIS);
        }
    }

    private void rejoin() {
        member = newMember();
        peers.attach(member);
        member.onConfiguration(configuration.text());
    }
}
