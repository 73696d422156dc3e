package org.siskindyke.kernel.balance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.ownership.KeyRange;

/**
 * Simulates 37 servers of 6 slots whose speeds differ by up to 2.5 times, 734 requests per second with 133 ms of work,
 * and blocks of 200 and of 60 neighbouring keys that get 35% and 38% of the requests for 4.5 s, at random places. Keys
 * that move are unserved until the heartbeats of both servers (870 ms apart) have passed.
 */
final class HotRangeLoad {
    static final int HOT_PHASES = 6;
    static final int BLOCKS = 128;
    private static final int SLICES = 8_192;
    private static final int BLOCK = SLICES / BLOCKS;
    private static final int SERVERS = 37;
    private static final int SLOTS = 6;
    private static final double ARRIVALS_PER_MILLI = 0.734;
    private static final double WORK_MILLIS = 133;
    private static final double OBJECTIVE_MILLIS = 504;
    private static final double DEADLINE_MILLIS = 1_210;
    private static final double HEARTBEAT_MILLIS = 870;
    private static final int PHASE_MILLIS = 9_000;
    private static final int HOT_MILLIS = 4_500;

    private final Random random;
    private final boolean splits;
    private final boolean hasHotKeys;
    private final List<Server> servers = new ArrayList<>();
    private final int[] owner = new int[SLICES];
    private final Map<Integer, Queue<Request>> unserved = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final HotRangePolicy hotRanges = new HotRangePolicy();
    private final RelieveOverloadPolicy relieve = new RelieveOverloadPolicy();
    private final int[] received = new int[SERVERS];
    private double busiestOverMeanSum;
    private double now;
    private long order;
    private int hotFirst;
    private int hotCount;
    int requests;
    int inTime;
    int movedSlices;

    HotRangeLoad(long seed, boolean splits, boolean hasHotKeys) {
        this.random = new Random(seed);
        this.splits = splits;
        this.hasHotKeys = hasHotKeys;
        IntStream.range(0, SERVERS).forEach(i -> servers.add(new Server(i)));
        IntStream.range(0, SLICES).forEach(slice -> owner[slice] = slice / BLOCK % SERVERS);
    }

    private record Event(double at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private static final class Request {
        private final int slice;
        private final double startMillis;
        private boolean retried;

        private Request(int slice, double startMillis) {
            this.slice = slice;
            this.startMillis = startMillis;
        }
    }

    private final class Server {
        private final int index;
        private final MemberId id;
        private final double slowness = 0.6 + 0.9 * random.nextDouble();
        private final Queue<Request> queue = new ArrayDeque<>();
        private final RecentArrivals recent = new RecentArrivals();
        private final int[] ended = new int[SLICES];
        private final double[] rates = new double[SLICES];
        private double millisPerCall = WORK_MILLIS * slowness;
        private int busy;
        private boolean releasing;
        private double overloadedSince = Double.MAX_VALUE;
        private double pausedUntil;

        private Server(int index) {
            this.index = index;
            this.id = MemberId.of(InstanceName.of("s" + index), 1);
        }

        private void receive(Request request) {
            recent.onArrival(request.slice, (long) now);
            received[index] += hotCount > 0 ? 1 : 0;
            double left = request.startMillis + DEADLINE_MILLIS - now;
            if ((queue.size() + 1) * millisPerCall / SLOTS + millisPerCall > left) {
                refuse(request);
                return;
            }
            queue.add(request);
            startNext();
        }

        private void startNext() {
            while (busy < SLOTS && !queue.isEmpty()) {
                Request request = queue.remove();
                busy++;
                double took = WORK_MILLIS * slowness * (0.7 + 0.6 * random.nextDouble());
                after(took, () -> {
                    busy--;
                    ended[request.slice]++;
                    millisPerCall += 0.05 * (took - millisPerCall);
                    inTime += now - request.startMillis <= OBJECTIVE_MILLIS ? 1 : 0;
                    startNext();
                });
            }
        }

        private TargetUsage usage(boolean answers) {
            double rate = 0;
            int slices = 0;
            for (int i = 0; i < SLICES; i++) {
                if (owner[i] == index) {
                    rate += rates[i];
                    slices++;
                }
            }
            double arrived = recent.callsPerSecond((long) now);
            boolean risen = arrived * millisPerCall / 1_000 / SLOTS >= 0.8;
            return new TargetUsage(
                    answers && risen ? Math.max(rate, arrived) : rate,
                    millisPerCall,
                    SLOTS,
                    (slices + BLOCK - 1) / BLOCK);
        }

        private void updateAverages() {
            for (int i = 0; i < SLICES; i++) {
                rates[i] = 0.7 * rates[i] + 0.3 * ended[i];
                ended[i] = 0;
            }
            after(1_000, this::updateAverages);
        }

        /** Today's balancer: compares with one random other server and moves whole runs of slices. */
        private void compare() {
            after(500 + random.nextInt(500), this::compare);
            Server other = servers.get(random.nextInt(SERVERS));
            if (other == this || releasing) {
                return;
            }
            List<SliceLoad> runs = new ArrayList<>();
            for (int i = 0; i < SLICES; i++) {
                if (owner[i] == index) {
                    boolean begins = i % BLOCK == 0 || owner[i - 1] != index;
                    double before = begins ? 0 : runs.remove(runs.size() - 1).callsPerSecond();
                    int first = begins ? i : firstOfRun(i);
                    runs.add(new SliceLoad(first, before + rates[i]));
                }
            }
            List<Integer> moving = new ArrayList<>();
            for (int first : relieve.choose(null, usage(false), runs, other.usage(true))) {
                for (int i = first; i == first || i % BLOCK != 0 && owner[i] == index; i++) {
                    moving.add(i);
                }
            }
            if (!moving.isEmpty()) {
                move(List.of(new HotRangePolicy.Move(other.id, moving)));
            }
        }

        private int firstOfRun(int slice) {
            int first = slice;
            while (first % BLOCK != 0 && owner[first - 1] == index) {
                first--;
            }
            return first;
        }

        private void checkHotRange() {
            after(50, this::checkHotRange);
            TargetUsage usage = new TargetUsage(0, millisPerCall, SLOTS, 0);
            if (releasing || now < pausedUntil || !hotRanges.isOverloaded(usage, recent.callsPerSecond((long) now))) {
                overloadedSince = Double.MAX_VALUE;
                return;
            }
            overloadedSince = Math.min(overloadedSince, now);
            // 200 ms until the overload is confirmed and 120 ms for the answers of the members asked.
            if (now < overloadedSince + 320) {
                return;
            }
            pausedUntil = now + 2_000;
            List<SliceLoad> mine = recent.sliceLoads((long) now).stream()
                    .filter(slice -> owner[slice.index()] == index)
                    .toList();
            List<Server> others = new ArrayList<>(servers);
            others.remove(this);
            Collections.shuffle(others, random);
            List<HotRangePolicy.Candidate> candidates = others.subList(0, 24).stream()
                    .map(other -> new HotRangePolicy.Candidate(other.id, other.usage(true)))
                    .toList();
            List<HotRangePolicy.Move> moves = hotRanges.plan(usage, mine, candidates, 32);
            if (!moves.isEmpty()) {
                move(moves);
            }
        }

        /** Old server's heartbeat, its report of the release, the commit, then each new server's heartbeat. */
        private void move(List<HotRangePolicy.Move> moves) {
            releasing = true;
            after(HEARTBEAT_MILLIS * random.nextDouble(), () -> {
                Set<Integer> all = new HashSet<>();
                moves.forEach(move -> all.addAll(move.slices()));
                all.forEach(slice -> unserved.put(slice, new ArrayDeque<>()));
                movedSlices += all.size();
                after(160, () -> {
                    releasing = false;
                    moves.forEach(this::grantLater);
                });
            });
        }

        private void grantLater(HotRangePolicy.Move move) {
            Server to = servers.stream()
                    .filter(server -> server.id.equals(move.to()))
                    .findFirst()
                    .orElseThrow();
            move.slices().forEach(slice -> owner[slice] = to.index);
            after(
                    HEARTBEAT_MILLIS * random.nextDouble(),
                    () -> move.slices().forEach(slice -> unserved.remove(slice).forEach(to::receive)));
        }
    }

    private void refuse(Request request) {
        if (!request.retried) {
            request.retried = true;
            after(300, () -> route(request));
        }
    }

    private void route(Request request) {
        Queue<Request> waiting = unserved.get(request.slice);
        if (waiting == null) {
            servers.get(owner[request.slice]).receive(request);
        } else if (now - request.startMillis < OBJECTIVE_MILLIS) {
            waiting.add(request);
        }
    }

    private void arrive() {
        after(-Math.log(1 - random.nextDouble()) / ARRIVALS_PER_MILLI, this::arrive);
        boolean isHot = hotCount > 0 && random.nextDouble() < (hotCount == 200 ? 0.35 : 0.38);
        int key = isHot ? hotFirst + random.nextInt(hotCount) : random.nextInt(KeyRange.KEY_COUNT);
        requests += hotCount > 0 || !hasHotKeys ? 1 : 0;
        route(new Request(KeyRange.sliceOf(key, SLICES), now));
    }

    private void after(double millis, Runnable action) {
        events.add(new Event(now + millis, order++, action));
    }

    /** Runs the hot phases, with as much time without hot keys before each. */
    HotRangeLoad run() {
        arrive();
        for (Server server : servers) {
            after(random.nextInt(1_000), server::updateAverages);
            after(random.nextInt(1_000), server::compare);
            if (splits) {
                after(random.nextInt(50), server::checkHotRange);
            }
        }
        for (int phase = 0; phase < HOT_PHASES && hasHotKeys; phase++) {
            int count = phase % 2 == 0 ? 200 : 60;
            after(PHASE_MILLIS * (phase + 1.0), () -> startHot(count));
            after(PHASE_MILLIS * (phase + 1.0) + HOT_MILLIS, this::endHot);
        }
        double end = PHASE_MILLIS * (HOT_PHASES + 1.0);
        int[] inTimeBefore = new int[1];
        while (now < end) {
            Event event = events.remove();
            int before = inTime;
            now = event.at();
            boolean counts = hotCount > 0 || !hasHotKeys;
            event.action().run();
            inTimeBefore[0] += counts ? 0 : inTime - before;
        }
        inTime -= inTimeBefore[0];
        return this;
    }

    private void startHot(int count) {
        hotCount = count;
        hotFirst = random.nextInt(KeyRange.KEY_COUNT - count);
    }

    private void endHot() {
        hotCount = 0;
        int sum = IntStream.of(received).sum();
        busiestOverMeanSum += IntStream.of(received).max().orElseThrow() * (double) SERVERS / sum;
        Arrays.fill(received, 0);
    }

    /** Returns the requests that the busiest server received in a hot phase over the mean of all servers. */
    double busiestOverMean() {
        return busiestOverMeanSum / HOT_PHASES;
    }

    double inTimeShare() {
        return (double) inTime / requests;
    }

    /** Returns the moved slices as a share of all, those that moved twice counted twice. */
    double churn() {
        return (double) movedSlices / SLICES;
    }

    /** Returns the number of runs of slices of one owner within a block. */
    int runs() {
        BitSet begins = new BitSet();
        for (int i = 0; i < SLICES; i++) {
            begins.set(i, i % BLOCK == 0 || owner[i] != owner[i - 1]);
        }
        return begins.cardinality();
    }

    @Override
    public String toString() {
        return String.format(
                "busiest over mean %.2f, in time %.3f of %d, moved %.4f of the keys, %d runs",
                busiestOverMean(), inTimeShare(), requests, churn(), runs());
    }
}
