package org.siskindyke.runtime;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.siskindyke.kernel.balance.LocalityAwareSelector;
import org.siskindyke.kernel.balance.RelieveOverloadPolicy;
import org.siskindyke.kernel.call.SharedRetryBudget;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.control.ConfigurationText;
import org.siskindyke.kernel.control.ControlContext;
import org.siskindyke.kernel.control.ControlSettings;
import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.grant.GrantReply;
import org.siskindyke.kernel.grant.TargetHeartbeat;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.LeaseSettings;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.route.RouteTable;
import org.siskindyke.kernel.route.RoutingConfiguration;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.SliceMeter;
import org.siskindyke.runtime.traffic.BackendDispatcher;
import org.siskindyke.runtime.traffic.CallDialect;
import org.siskindyke.runtime.traffic.CallOutcome;
import org.siskindyke.runtime.traffic.CallerRequestHandler;
import org.siskindyke.runtime.traffic.Cancellable;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.HttpListener;
import org.siskindyke.runtime.traffic.PeerNetwork;
import org.siskindyke.runtime.traffic.TrafficLoop;

/** The router beside one backend server, whose heartbeats it answers with grants. */
public final class InstanceRouter {
    /** Slices of neighbouring keys; as many ranges fit into an acknowledgement of 4 KiB. */
    private static final int SLICES = 128;

    private static final long TICK_MILLIS = 50;
    /** Time after a start from which metrics are kept; a router serves within two seconds. */
    private static final long METRICS_AFTER_MILLIS = 4_000;

    private static final long REJOIN_MILLIS = 200;
    /** Lease beyond two heartbeats, so that a hold outlasts one that is lost and a renewal that is late. */
    private static final long LEASE_BEYOND_HEARTBEATS_MILLIS = 1_500;

    private static final long LEASE_MARGIN_MILLIS = 200;
    private static final long RENEWAL_MILLIS = 500;
    private static final long REPLACE_GRANTOR_MILLIS = 1_300;
    private static final long POLL_PAUSE_MILLIS = 100;
    private static final long GOSSIP_MILLIS = 700;
    private static final long PLAN_MILLIS = 500;
    private static final long OUTAGE_BOUND_MILLIS = 600_000;
    /** Heartbeats in a hold, so that one lost heartbeat does not end it. */
    private static final double HEARTBEATS_IN_HOLD = 2.8;
    /** The platform asks once a second and acts on the second miss. */
    private static final long NOTICED_NOT_READY_MILLIS = 2_300;

    private static final long STOP_MARGIN_MILLIS = 700;
    /** Time before the end at which calls that no target has begun are refused; two round trips between regions. */
    private static final long WITHDRAW_MILLIS = 300;

    private static final long STOP_POLL_MILLIS = 20;

    private volatile InstanceSettings settings;
    private final CallDialect dialect;
    private final ConfigurationKeeper configuration;
    private final MonotonicClock clock = SystemMonotonicClock.INSTANCE;
    private final EventLog log;
    private final TrafficLoop traffic;
    private final ControlThread control;
    private final TableService table;
    private final SliceMeter meter;
    private final BackendDispatcher gate;
    private final PeerNetwork peers;
    private final CallerRequestHandler director;
    private final TargetKeeper targets;
    private final RequestLog requests;
    private final RouterMetrics metrics = new RouterMetrics();
    private final HttpListener callers;
    private final SuspensionDetector suspension;
    private volatile MemberController node;
    private volatile boolean configured;
    private volatile boolean stopping;

    /**
     * Creates a router that does not listen yet.
     *
     * @param settings its settings
     * @param traffic the loop of its traffic
     * @param table the table service
     * @param dialect header fields of callers and backend servers
     * @param decoder reads configurations; fails with {@code INVALID_DOCUMENT}
     * @param log takes events
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
        this.configuration = new ConfigurationKeeper(decoder, SLICES, this::onInForce, log);
        this.control = new ControlThread("control-" + settings.instance());
        this.table = control.confine(table);
        this.suspension = new SuspensionDetector(clock, System::currentTimeMillis);
        this.meter = new SliceMeter(clock, service -> gateSlots(service));
        this.gate = new BackendDispatcher(
                traffic,
                clock,
                dialect,
                meter,
                (service, slice) -> view().ownership()
                        .owner(slice)
                        .filter(owner -> node.row().id().equals(owner.member()))
                        .isPresent(),
                () -> control.execute(() -> targets().onUnreachable(clock.nowMillis())),
                log);
        this.peers = new PeerNetwork(traffic, control, clock, gate, log);
        this.requests = new RequestLog(log, clock);
        this.director = new CallerRequestHandler(
                traffic,
                clock,
                dialect,
                this::view,
                () -> node.row().id(),
                peers,
                gate,
                new CallerRequestHandler.Policies(
                        settings.service(),
                        new LocalityAwareSelector(settings.failureDomain()),
                        this::newBudget,
                        this::onEnded));
        this.targets = new TargetKeeper(settings, clock, traffic, gate, log, SLICES, longestHoldMillis());
        this.callers = new HttpListener(traffic, clock, configuration::limits, director);
    }

    private OptionalInt gateSlots(ServiceName service) {
        return gate.slots(service);
    }

    private TargetKeeper targets() {
        return targets;
    }

    private long longestHoldMillis() {
        long byHeartbeats = (long) (settings.heartbeat().toMillis() * HEARTBEATS_IN_HOLD);
        return Math.min(byHeartbeats, settings.bounds().maxGrantDuration().toMillis());
    }

    private SharedRetryBudget newBudget(int routers) {
        InstanceSettings.Bounds bounds = settings.bounds();
        return new SharedRetryBudget(
                bounds.retryBudgetRatio(),
                bounds.retryBudgetExtra(),
                routers,
                bounds.retryBudgetWindow().toMillis());
    }

    /** Starts to listen for callers and other routers, and joins; returns before the member has joined. */
    public void start() {
        node = newNode();
        peers.attach(node);
        peers.listen(settings.addresses().peers());
        callers.listen(settings.addresses().callers());
        control.repeat(this::tick, TICK_MILLIS);
        traffic.scheduleWithFixedDelay(gate::tick, TICK_MILLIS);
        traffic.scheduleWithFixedDelay(requests::flush, TimeUnit.SECONDS.toMillis(5));
        traffic.schedule(() -> metrics.start(gate::slotsUsed, gate::waiting, log::dropped), METRICS_AFTER_MILLIS);
        log.event(
                "router-started",
                "failureDomain",
                settings.failureDomain(),
                "service",
                settings.service(),
                "callers",
                settings.addresses().callers());
    }

    private void onEnded(CallOutcome outcome) {
        requests.onEnded(outcome);
        metrics.onEnded(outcome);
    }

    /** Returns the metrics of this router. */
    public RouterMetrics metrics() {
        return metrics;
    }

    /** Tells whether callers may be sent here. */
    public boolean isReady() {
        return configured && !stopping;
    }

    /**
     * Takes changed settings over: bounds count from now on, anything else needs a new start.
     *
     * @param changed the settings as they are now
     */
    public void reload(InstanceSettings changed) {
        InstanceSettings present = settings;
        boolean sameIdentity = changed.withBounds(present.bounds()).equals(present);
        log.event("settings-reloaded", "changed", !changed.equals(present), "needRestart", !sameIdentity);
        settings = present.withBounds(changed.bounds());
        control.execute(() -> targets.setDrain(changed.bounds().drain()));
    }

    /** Offers a configuration as the table holds it. */
    public void offerConfiguration(ConfigurationText offered) {
        control.execute(() -> node.onConfiguration(offered));
    }

    /**
     * Takes a heartbeat of the backend server beside this router.
     *
     * @param heartbeat the heartbeat
     * @param address where the backend server takes requests
     * @param onReply takes the answer, on the traffic loop
     */
    public void onHeartbeat(TargetHeartbeat heartbeat, InetSocketAddress address, Consumer<GrantReply> onReply) {
        control.execute(() -> {
            checkSuspension();
            GrantReply reply =
                    targets.onHeartbeat(heartbeat, address, node, configuration.settings(heartbeat.service()));
            traffic.execute(() -> onReply.accept(reply));
        });
    }

    /** Learns that the backend server is about to end, though it may still serve for a while. */
    public void onDeregister(TargetName target, Runnable onTaken) {
        control.execute(() -> {
            targets.onDeregister(target, node);
            traffic.execute(onTaken);
        });
    }

    private void onInForce(RoutingConfiguration read) {
        for (ServiceDocument document : configuration.documents(read)) {
            node.view().acceptDocument(document, read.version(), clock.nowMillis());
        }
        RouteTable routes = new RouteTable(read);
        traffic.execute(() -> {
            director.setRoutes(routes);
            configured = true;
        });
    }

    private ClusterView view() {
        return node.view();
    }

    private void tick() {
        checkSuspension();
        node.tick();
        targets.tick(node);
        meter.updateAverages();
    }

    private void checkSuspension() {
        if (suspension.wasSuspended()) {
            log.event("suspension-noticed");
            node.onSuspended();
        }
    }

    private MemberController newNode() {
        long unique = System.currentTimeMillis() * TimeUnit.SECONDS.toMillis(1)
                + ThreadLocalRandom.current().nextInt(1_000);
        MemberId self = MemberId.of(settings.instance(), unique);
        InstanceSettings.Addresses addresses = settings.addresses();
        MemberAddress address = new MemberAddress(
                addresses.peers().getHostString(),
                addresses.peers().getPort(),
                addresses.callers().getPort(),
                addresses.readiness().getPort());
        ControlContext context = new ControlContext(
                self,
                controlSettings(),
                clock,
                new Random(unique),
                table,
                peers,
                new MemberEvents(self, log, this::forgetEnded, this::rejoinSoon, configuration::apply),
                new ClusterView());
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
                null);
        MemberController made =
                new MemberController(context, template, targets.sliceTraffic(), meter, new RelieveOverloadPolicy());
        made.setPredecessorFinder(view -> predecessor(view, self, address));
        return made;
    }

    /** Finds an earlier life of this router: one process runs on an instance, so it has ended. */
    private Optional<MemberRow> predecessor(ClusterView view, MemberId self, MemberAddress address) {
        return view.members().serving().stream()
                .filter(m -> m.instance().equals(settings.instance()))
                .filter(m -> m.address().equals(address) && !m.id().equals(self))
                .findFirst();
    }

    private ControlSettings controlSettings() {
        long leaseMillis = 2 * settings.heartbeat().toMillis() + LEASE_BEYOND_HEARTBEATS_MILLIS;
        LeaseSettings lease =
                new LeaseSettings(leaseMillis, LEASE_MARGIN_MILLIS, RENEWAL_MILLIS, REPLACE_GRANTOR_MILLIS);
        return new ControlSettings(lease, POLL_PAUSE_MILLIS, GOSSIP_MILLIS, PLAN_MILLIS, OUTAGE_BOUND_MILLIS, true);
    }

    /**
     * Stops: answers everything that was read, then ends. Called on a thread that may wait.
     *
     * @throws InterruptedException when the thread is interrupted
     */
    public void stop() throws InterruptedException {
        long startMillis = clock.nowMillis();
        long endMillis = startMillis + settings.bounds().grace().toMillis() - STOP_MARGIN_MILLIS;
        stopping = true;
        log.event("router-stopping");
        traffic.execute(callers::startClosing);
        control.execute(() -> targets.onStopping(node));
        TimeUnit.MILLISECONDS.sleep(NOTICED_NOT_READY_MILLIS);
        traffic.execute(() -> {
            callers.close();
            gate.setAccepting(false);
        });
        waitUntilAnswered(endMillis - WITHDRAW_MILLIS);
        traffic.execute(director::withdrawAll);
        waitUntilAnswered(endMillis);
        log.event("router-stopped", "tookMillis", clock.nowMillis() - startMillis, "unanswered", unanswered());
    }

    private void waitUntilAnswered(long untilMillis) throws InterruptedException {
        while (clock.nowMillis() < untilMillis && unanswered() > 0) {
            TimeUnit.MILLISECONDS.sleep(STOP_POLL_MILLIS);
        }
    }

    private int unanswered() throws InterruptedException {
        int[] count = new int[1];
        CountDownLatch counted = new CountDownLatch(1);
        traffic.execute(() -> {
            count[0] = callers.unanswered() + gate.unanswered();
            counted.countDown();
        });
        return counted.await(1, TimeUnit.SECONDS) ? count[0] : 1;
    }

    /** Returns a handler that says whether callers may be sent here. */
    public HttpExchange.Handler readiness() {
        return (request, responder) -> {
            responder.respond(HttpExchange.Response.empty(isReady() ? 200 : 503));
            return Cancellable.NONE;
        };
    }

    private void forgetEnded() {
        Set<MemberId> serving =
                view().members().serving().stream().map(MemberRow::id).collect(Collectors.toCollection(HashSet::new));
        traffic.execute(() -> director.retainMembers(serving));
    }

    private void rejoinSoon() {
        if (!stopping) {
            control.schedule(this::rejoin, REJOIN_MILLIS);
        }
    }

    private void rejoin() {
        node = newNode();
        peers.attach(node);
        node.onConfiguration(configuration.text());
    }
}
