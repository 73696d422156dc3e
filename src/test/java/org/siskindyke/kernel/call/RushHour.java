package org.siskindyke.kernel.call;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Simulates the rush hour of a deployment without network: servers of a divided service, whose calls make nested calls
 * to servers of an undivided service, and callers that return once after the time they are told. Rates, work,
 * objectives, deadlines and values are those of docs/design/hard-load.md.
 */
final class RushHour {
    static final Kind SEARCH = new Kind("search", true, 1, 1, 330, 210, 608, 3_039, 0.89, 0.089);
    static final Kind RENEWAL = new Kind("renewal", false, 1, 2, 119, 276, 1_507, 3_014, 0.89, 0.13);
    static final Kind BOOKING = new Kind("booking", false, 2, 0, 85.2, 143, 503, 2_013, 5.1, 0.2);
    static final Kind ALERT = new Kind("alert", false, 2, 3, 41.5, 171, 608, 2_532, 0.89, 0.089);
    static final Kind READ = new Kind("read", true, 2, 1, 0, 52.4, 203, 610, 0, 0);
    private static final List<Kind> KINDS = List.of(SEARCH, RENEWAL, BOOKING, ALERT);

    /** With these rates, one server of service 2 is as busy as four of service 1; the deployment has 49 and 15. */
    private static final int DIVIDED_PER_UNDIVIDED = 4;

    private static final int SLOTS = 4;
    private static final double NESTED_SHARE = 1 / 3.0;
    private static final int MAX_TARGETS = 3;
    private static final long HOP_MILLIS = 3;
    private static final long CALLER_ROUND_TRIP_MILLIS = 16;
    private static final long TICK_MILLIS = 50;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long END_MILLIS = 33_000;
    private static final long MAX_RUN_MILLIS = END_MILLIS + 5_000;

    private final BiFunction<ServiceTimeEstimator, ArrivalPace, AdmissionPolicy> policies;
    private final boolean ranksNested;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final List<Server> divided;
    private final List<Server> undivided;
    private final Map<Kind, Tally> tallies = new LinkedHashMap<>();
    private long nowMillis;
    private long eventCount;

    /** A kind of request; rates per second, times in milliseconds. */
    record Kind(
            String name,
            boolean idempotent,
            int service,
            int rank,
            double perSecond,
            double workMillis,
            long objectiveMillis,
            long deadlineMillis,
            double valueInTime,
            double valueLate) {}

    private record Event(long atMillis, long number, Runnable action) {}

    /** What became of the requests of one kind. */
    static final class Tally {
        int offered;
        int inTime;
        int late;
        int refusedAgain;
        int failedByNested;
        /** Charge for refusals after a long wait: 1 for one that was held for three quarters of its time. */
        double heldCharge;

        double value;

        double shareServed() {
            return (inTime + late) / (double) offered;
        }
    }

    /**
     * Creates a simulation.
     *
     * @param undividedServers number of servers of the undivided service; there are four times as many of the other
     * @param policies creates the policy of each server
     * @param ranksNested whether a nested call has the rank and objective of the request that makes it, and returning
     *     callers are known
     * @param factor offered work as a multiple of the capacity
     * @param seed seed of all random choices
     */
    RushHour(
            int undividedServers,
            BiFunction<ServiceTimeEstimator, ArrivalPace, AdmissionPolicy> policies,
            boolean ranksNested,
            double factor,
            long seed) {
        this.policies = policies;
        this.ranksNested = ranksNested;
        this.random = new Random(seed);
        this.divided = servers(undividedServers * DIVIDED_PER_UNDIVIDED);
        this.undivided = servers(undividedServers);
        double workPerSecond = (SEARCH.perSecond * SEARCH.workMillis + RENEWAL.perSecond * RENEWAL.workMillis) / 1_000;
        double scale = factor * divided.size() * SLOTS / workPerSecond;
        for (Kind kind : KINDS) {
            tallies.put(kind, new Tally());
            scheduleArrivals(kind, kind.perSecond * scale);
        }
        schedule(TICK_MILLIS, this::tick);
    }

    private List<Server> servers(int count) {
        Server[] all = new Server[count];
        Arrays.setAll(all, i -> new Server());
        return List.of(all);
    }

    /** Runs to the end and returns the result for each kind. */
    Map<Kind, Tally> run() {
        while (!events.isEmpty() && events.peek().atMillis < MAX_RUN_MILLIS) {
            Event next = events.remove();
            nowMillis = next.atMillis;
            next.action.run();
        }
        return tallies;
    }

    /** Returns the charge for all refusals after a long wait. */
    double heldCharge() {
        return tallies.values().stream().mapToDouble(t -> t.heldCharge).sum();
    }

    /** Returns the value that all requests have earned. */
    double value() {
        return tallies.values().stream().mapToDouble(t -> t.value).sum();
    }

    private void schedule(long atMillis, Runnable action) {
        events.add(new Event(atMillis, eventCount++, action));
    }

    private void scheduleArrivals(Kind kind, double perSecond) {
        double atMillis = 0;
        while (atMillis < END_MILLIS) {
            long arrivalMillis = (long) atMillis;
            schedule(arrivalMillis, () -> new Request(kind, nowMillis).attempt(false));
            atMillis += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
        }
    }

    private void tick() {
        divided.forEach(Server::tick);
        undivided.forEach(Server::tick);
        schedule(nowMillis + TICK_MILLIS, this::tick);
    }

    private double workMillis(Kind kind) {
        return kind.workMillis * (0.6 + 0.8 * random.nextDouble());
    }

    /** The less loaded of two servers that have not been tried; the reports of load are up to date. */
    private Server pick(List<Server> tried) {
        List<Server> left = new ArrayList<>(undivided);
        left.removeAll(tried);
        Server one = left.get(random.nextInt(left.size()));
        Server other = left.get(random.nextInt(left.size()));
        return one.load() <= other.load() ? one : other;
    }

    /** A backend server and its queue. */
    private final class Server {
        private final ServiceTimeEstimator times = new ServiceTimeEstimator();
        private final ArrivalPace pace = AdmissionQueueTest.knownPace();
        private final AdmissionPolicy policy = policies.apply(times, pace);
        private final AdmissionQueue queue = new AdmissionQueue(SLOTS, times, pace, policy);

        private int load() {
            return queue.used() + queue.waiting();
        }

        private void tick() {
            queue.refusePredictedTimeouts(nowMillis);
            queue.admit(nowMillis);
        }

        private void end(Kind kind, long startMillis) {
            times.onEnded(kind.name, nowMillis - startMillis, nowMillis);
            queue.releaseSlot(nowMillis);
        }
    }

    /** A request of a caller. */
    private final class Request {
        private final Kind kind;
        private final long firstMillis;
        private final Tally tally;
        private boolean ended;

        private Request(Kind kind, long firstMillis) {
            this.kind = kind;
            this.firstMillis = firstMillis;
            this.tally = firstMillis < WARM_UP_MILLIS ? new Tally() : tallies.get(kind);
            tally.offered++;
        }

        private long deadlineMillis() {
            return firstMillis + kind.deadlineMillis;
        }

        private void attempt(boolean returning) {
            long startMillis = nowMillis;
            long objectiveStartMillis = ranksNested ? firstMillis : nowMillis;
            Supplier<SchedulingAttributes> attributes = () -> new SchedulingAttributes(
                    kind.name,
                    kind.rank,
                    objectiveStartMillis + kind.objectiveMillis,
                    false,
                    false,
                    false,
                    returning && ranksNested);
            Consumer<Long> refused = retryAfterMillis -> onRefused(startMillis, retryAfterMillis, returning);
            if (kind.service == 1) {
                submit(divided.get(random.nextInt(divided.size())), attributes.get(), refused);
            } else {
                submitToAny(attributes.get(), new ArrayList<>(), refused);
            }
        }

        private void submitToAny(SchedulingAttributes attributes, List<Server> tried, Consumer<Long> refused) {
            Server server = pick(tried);
            tried.add(server);
            boolean last = tried.size() == Math.min(MAX_TARGETS, undivided.size());
            Consumer<Long> next = retryAfterMillis -> schedule(nowMillis + HOP_MILLIS, () -> {
                if (last) {
                    refused.accept(retryAfterMillis);
                } else {
                    submitToAny(attributes, tried, refused);
                }
            });
            submit(server, attributes.withMovable(!last), next);
        }

        private void submit(Server server, SchedulingAttributes attributes, Consumer<Long> refused) {
            server.queue.submit(
                    new AdmissionQueue.Entry(
                            attributes,
                            deadlineMillis(),
                            () -> start(server),
                            (cause, retryAfterMillis) -> refused.accept(Math.max(100, retryAfterMillis))),
                    nowMillis);
        }

        private void start(Server server) {
            long startMillis = nowMillis;
            double workMillis = workMillis(kind);
            if (kind == SEARCH && random.nextDouble() < NESTED_SHARE) {
                schedule(nowMillis + (long) (workMillis / 2), () -> read(server, startMillis, workMillis / 2));
            } else {
                schedule(nowMillis + (long) workMillis, () -> end(server, startMillis, true));
            }
        }

        private void read(Server server, long startMillis, double restMillis) {
            new NestedRead(this, succeeded -> {
                        server.policy.onNestedEnded(kind.name, !succeeded, nowMillis);
                        if (succeeded) {
                            schedule(nowMillis + (long) restMillis, () -> end(server, startMillis, true));
                        } else {
                            tally.failedByNested++;
                            end(server, startMillis, false);
                        }
                    })
                    .attempt(new ArrayList<>());
        }

        private void end(Server server, long startMillis, boolean succeeded) {
            server.end(kind, startMillis);
            if (!succeeded || ended) {
                return;
            }
            ended = true;
            long tookMillis = nowMillis - firstMillis;
            if (tookMillis <= kind.objectiveMillis) {
                tally.inTime++;
                tally.value += kind.valueInTime;
            } else if (tookMillis <= kind.deadlineMillis) {
                tally.late++;
                tally.value += kind.valueLate;
            }
        }

        private void onRefused(long attemptMillis, long retryAfterMillis, boolean returning) {
            double heldMillis = nowMillis - attemptMillis;
            double freeMillis = kind.objectiveMillis / 8.0;
            double fullMillis = kind.deadlineMillis * 0.75;
            tally.heldCharge += Math.min(1, Math.max(0, (heldMillis - freeMillis) / (fullMillis - freeMillis)));
            tally.refusedAgain += returning ? 1 : 0;
            if (!returning && retryAfterMillis <= (deadlineMillis() - nowMillis) / 3) {
                schedule(nowMillis + CALLER_ROUND_TRIP_MILLIS + retryAfterMillis, () -> attempt(true));
            }
        }
    }

    /** A timetable read that a running connection search waits for. */
    private final class NestedRead {
        private final Request parent;
        private final Consumer<Boolean> onEnded;
        private final long deadlineMillis;
        private final long objectiveMillis;

        private NestedRead(Request parent, Consumer<Boolean> onEnded) {
            this.parent = parent;
            this.onEnded = onEnded;
            this.deadlineMillis = Math.min(nowMillis + READ.deadlineMillis, parent.deadlineMillis());
            this.objectiveMillis = nowMillis + READ.objectiveMillis;
        }

        private void attempt(List<Server> tried) {
            Server server = pick(tried);
            tried.add(server);
            boolean last = tried.size() == Math.min(MAX_TARGETS, undivided.size());
            server.queue.submit(
                    new AdmissionQueue.Entry(
                            new SchedulingAttributes(
                                    READ.name,
                                    ranksNested ? parent.kind.rank : READ.rank,
                                    objectiveMillis,
                                    true,
                                    !last,
                                    false,
                                    false),
                            deadlineMillis,
                            () -> start(server),
                            (cause, retryAfterMillis) -> schedule(nowMillis + HOP_MILLIS, () -> {
                                if (last) {
                                    onEnded.accept(false);
                                } else {
                                    attempt(tried);
                                }
                            })),
                    nowMillis);
        }

        private void start(Server server) {
            long startMillis = nowMillis;
            schedule(nowMillis + (long) workMillis(READ), () -> {
                server.end(READ, startMillis);
                onEnded.accept(nowMillis <= deadlineMillis);
            });
        }
    }
}
