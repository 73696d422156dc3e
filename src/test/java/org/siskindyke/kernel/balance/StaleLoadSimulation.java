package org.siskindyke.kernel.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.Region;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.place.Distance;
import org.siskindyke.kernel.place.Topology;

/**
 * Simulates routers that choose among the servers of an undivided service with old load information; without network,
 * threads or clock, and with a seeded random source. A server runs calls in its slots and lets the others wait. A
 * movable call that would be late there is refused and sent to another one, as the routers do, up to three times.
 */
final class StaleLoadSimulation {
    private static final int MAX_FULL_TARGETS = 3;
    private static final long REFUSED_AVOID_MILLIS = 60;
    /** The deadline of a call in multiples of its objective. */
    private static final double DEADLINE_OBJECTIVES = 4;

    private static final double SNAPSHOT_MILLIS = 50;
    private static final double MILLIS_PER_SECOND = 1_000;
    /** Spread of the durations of calls: the standard deviation of their logarithm. */
    private static final double DURATION_SPREAD = 0.5;

    /**
     * What is simulated.
     *
     * @param routers number of routers
     * @param domains number of failure domains, over which routers and servers are spread in turn
     * @param regions number of regions, over which the failure domains are spread in turn
     * @param slots slots of each server
     * @param speeds relative speed of each server
     * @param workMillis average duration of a call at a server of speed 1
     * @param objectiveMillis latency objective
     * @param load offered load in relation to the capacity of all servers
     * @param demand relative number of calls at the routers of each failure domain
     * @param reportAgeMillis age of the reports that each router has of each server; 0 for reports that come with
     *     replies only
     * @param seconds duration
     */
    record Scenario(
            int routers,
            int domains,
            int regions,
            int slots,
            double[] speeds,
            double workMillis,
            long objectiveMillis,
            double load,
            double[] demand,
            long reportAgeMillis,
            int seconds) {}

    /**
     * What was measured after the first fifth of the time.
     *
     * @param busiestOverMean utilisation of the busiest server in relation to the mean
     * @param busiestOverMeanInSecond the same within each second, on average over the seconds
     * @param inTime share of the calls that were answered within their objective
     * @param outsideDomain share of the attempts that left their failure domain
     * @param outsideRegion share of the attempts that left their region
     * @param refused share of the calls that no server took
     */
    record Result(
            double busiestOverMean,
            double busiestOverMeanInSecond,
            double inTime,
            double outsideDomain,
            double outsideRegion,
            double refused) {
        @Override
        public String toString() {
            return String.format(
                    "busiest/mean %.2f (in one second %.2f), in time %.3f, "
                            + "outside domain %.3f, outside region %.3f, refused %.3f",
                    busiestOverMean, busiestOverMeanInSecond, inTime, outsideDomain, outsideRegion, refused);
        }
    }

    private record Event(double atMillis, long number, Runnable action) {}

    private final Scenario scenario;
    private final Random random;
    private final Topology topology;
    private final List<Server> servers = new ArrayList<>();
    private final List<MemberRow> rows = new ArrayList<>();
    private final Map<MemberId, Server> serverById = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::number));
    private final List<Double> secondRatios = new ArrayList<>();
    private double nowMillis;
    private long eventCount;
    private long calls;
    private long inTime;
    private long refused;
    private long attempts;
    private long outsideDomain;
    private long outsideRegion;

    private StaleLoadSimulation(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        this.topology = topology(scenario);
        for (int i = 0; i < scenario.speeds().length; i++) {
            Server server = new Server(scenario.speeds()[i]);
            MemberRow row = row("s" + i, domain(i % scenario.domains()));
            servers.add(server);
            rows.add(row);
            serverById.put(row.id(), server);
        }
    }

    /** Simulates the routers with the chooser that {@code choosers} creates for the failure domain of each. */
    static Result run(Scenario scenario, Function<FailureDomain, TargetChooser> choosers, long seed) {
        return new StaleLoadSimulation(scenario, seed).run(choosers);
    }

    static FailureDomain domain(int index) {
        return FailureDomain.of("domain" + index);
    }

    static Topology topology(Scenario scenario) {
        Map<FailureDomain, Region> regions = new HashMap<>();
        for (int i = 0; i < scenario.domains(); i++) {
            regions.put(domain(i), Region.of("region" + i % scenario.regions()));
        }
        return new Topology(regions);
    }

    static MemberRow row(String name, FailureDomain domain) {
        InstanceName instance = InstanceName.of(name);
        return new MemberRow(
                MemberId.of(instance, 1),
                instance,
                domain,
                new MemberAddress("127.0.0.1", 1, 2, 3),
                MemberState.ALIVE,
                1,
                MemberId.TABLE,
                List.of(),
                null,
                null,
                List.of());
    }

    private Result run(Function<FailureDomain, TargetChooser> choosers) {
        double capacity = servers.stream().mapToDouble(s -> s.speed).sum() * scenario.slots() / scenario.workMillis();
        double callsPerMilli = scenario.load() * capacity;
        double demandSum = 0;
        for (int i = 0; i < scenario.routers(); i++) {
            demandSum += scenario.demand()[i % scenario.domains()];
        }
        for (int i = 0; i < scenario.routers(); i++) {
            FailureDomain own = domain(i % scenario.domains());
            double rate = callsPerMilli * scenario.demand()[i % scenario.domains()] / demandSum;
            new Router(own, choosers.apply(own), rate).arriveLater();
        }
        if (scenario.reportAgeMillis() > 0) {
            servers.forEach(Server::snapshotLater);
        }
        double endMillis = scenario.seconds() * MILLIS_PER_SECOND;
        double warmMillis = endMillis / 5;
        at(warmMillis, this::resetCounts);
        countSecondLater(warmMillis + MILLIS_PER_SECOND);
        while (!events.isEmpty() && events.peek().atMillis() < endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        nowMillis = endMillis;
        servers.forEach(Server::account);
        return new Result(
                busiestOverMean(s -> s.busyMillis),
                secondRatios.stream().mapToDouble(r -> r).average().orElseThrow(),
                (double) inTime / calls,
                (double) outsideDomain / attempts,
                (double) outsideRegion / attempts,
                (double) refused / calls);
    }

    private double busiestOverMean(ToDoubleFunction<Server> busyMillis) {
        double max = servers.stream().mapToDouble(busyMillis).max().orElseThrow();
        return max / servers.stream().mapToDouble(busyMillis).average().orElseThrow();
    }

    private void countSecondLater(double endMillis) {
        at(endMillis, () -> {
            servers.forEach(Server::account);
            secondRatios.add(busiestOverMean(s -> s.busyMillis - s.busyMillisBeforeSecond));
            servers.forEach(s -> s.busyMillisBeforeSecond = s.busyMillis);
            countSecondLater(endMillis + MILLIS_PER_SECOND);
        });
    }

    private void resetCounts() {
        servers.forEach(Server::account);
        servers.forEach(s -> s.busyMillis = 0);
        calls = 0;
        inTime = 0;
        refused = 0;
        attempts = 0;
        outsideDomain = 0;
        outsideRegion = 0;
    }

    private void at(double atMillis, Runnable action) {
        events.add(new Event(atMillis, eventCount++, action));
    }

    private void after(double delayMillis, Runnable action) {
        at(nowMillis + delayMillis, action);
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private final class Router {
        private final FailureDomain own;
        private final TargetChooser chooser;
        private final double callsPerMilli;
        private final Map<MemberId, ReportedTargetLoad> loads = new HashMap<>();

        private Router(FailureDomain own, TargetChooser chooser, double callsPerMilli) {
            this.own = own;
            this.chooser = chooser;
            this.callsPerMilli = callsPerMilli;
        }

        private ReportedTargetLoad load(MemberId id) {
            return loads.computeIfAbsent(id, i -> new ReportedTargetLoad());
        }

        private void arriveLater() {
            after(exponential(1 / callsPerMilli), () -> {
                calls++;
                send(nowMillis, new HashSet<>());
                arriveLater();
            });
        }

        private void sendElsewhere(double arrivedMillis, Set<MemberId> tried) {
            if (tried.size() < MAX_FULL_TARGETS) {
                send(arrivedMillis, tried);
            } else {
                refused++;
            }
        }

        private void send(double arrivedMillis, Set<MemberId> tried) {
            long now = (long) nowMillis;
            if (scenario.reportAgeMillis() > 0) {
                serverById.forEach((id, server) -> server.tellOldReport(load(id)));
            }
            Optional<MemberRow> chosen = chooser.choose(
                    rows, tried, this::load, (long) arrivedMillis + scenario.objectiveMillis() - now, now);
            if (chosen.isEmpty()) {
                refused++;
                return;
            }
            MemberRow member = chosen.get();
            tried.add(member.id());
            attempts++;
            Distance distance = topology.distance(own, member.failureDomain());
            outsideDomain += distance == Distance.SAME_DOMAIN ? 0 : 1;
            outsideRegion += distance == Distance.OTHER_REGION ? 1 : 0;
            double oneWayMillis = distance == Distance.SAME_DOMAIN ? 0.5 : distance == Distance.SAME_REGION ? 1.4 : 12;
            ReportedTargetLoad load = load(member.id());
            load.onSent();
            boolean movable = tried.size() < MAX_FULL_TARGETS;
            Server server = serverById.get(member.id());
            after(
                    oneWayMillis,
                    () -> server.submit(
                            arrivedMillis + scenario.objectiveMillis() * (movable ? 1 : DEADLINE_OBJECTIVES),
                            admitted ->
                                    after(oneWayMillis, () -> onReply(arrivedMillis, tried, load, server, admitted))));
        }

        private void onReply(
                double arrivedMillis, Set<MemberId> tried, ReportedTargetLoad load, Server server, boolean ran) {
            load.onEnded();
            if (scenario.reportAgeMillis() == 0) {
                load.onReport(server.report(), (long) nowMillis);
            }
            if (ran) {
                load.clearAvoidance();
                inTime += nowMillis - arrivedMillis <= scenario.objectiveMillis() ? 1 : 0;
            } else {
                load.avoidUntil((long) nowMillis + REFUSED_AVOID_MILLIS);
                sendElsewhere(arrivedMillis, tried);
            }
        }
    }

    private final class Server {
        private final double speed;
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private final Deque<TargetLoadReport> snapshots = new ArrayDeque<>();
        private double millisPerCall;
        private int busy;
        private double busyMillis;
        private double busyMillisBeforeSecond;
        private double accountedMillis;

        private Server(double speed) {
            this.speed = speed;
            this.millisPerCall = scenario.workMillis() / speed;
        }

        private TargetLoadReport report() {
            return new TargetLoadReport(scenario.slots(), busy, waiting.size(), (int) millisPerCall, 0);
        }

        private void snapshotLater() {
            snapshots.add(report());
            if (snapshots.size() > scenario.reportAgeMillis() / SNAPSHOT_MILLIS) {
                snapshots.remove();
            }
            after(SNAPSHOT_MILLIS, this::snapshotLater);
        }

        private void tellOldReport(ReportedTargetLoad load) {
            load.onReport(snapshots.getFirst(), (long) nowMillis - scenario.reportAgeMillis());
        }

        private void account() {
            busyMillis += busy * (nowMillis - accountedMillis);
            accountedMillis = nowMillis;
        }

        private void submit(double latestEndMillis, Consumer<Boolean> onEnded) {
            double waitMillis = busy < scenario.slots() ? 0 : (waiting.size() + 1) * millisPerCall / scenario.slots();
            if (nowMillis + waitMillis + millisPerCall > latestEndMillis) {
                onEnded.accept(false);
                return;
            }
            waiting.add(() -> start(onEnded));
            startWaiting();
        }

        private void start(Consumer<Boolean> onEnded) {
            account();
            busy++;
            double meanLog = Math.log(scenario.workMillis() / speed) - DURATION_SPREAD * DURATION_SPREAD / 2;
            double tookMillis = Math.exp(meanLog + DURATION_SPREAD * random.nextGaussian());
            after(tookMillis, () -> {
                account();
                busy--;
                millisPerCall += 0.1 * (tookMillis - millisPerCall);
                startWaiting();
                onEnded.accept(true);
            });
        }

        private void startWaiting() {
            while (busy < scenario.slots() && !waiting.isEmpty()) {
                waiting.remove().run();
            }
        }
    }
}
