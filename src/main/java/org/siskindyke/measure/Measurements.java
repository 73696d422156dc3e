package org.siskindyke.measure;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;

import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.crash.SuspectDigest;
import org.siskindyke.kernel.document.BalanceRule;
import org.siskindyke.kernel.document.CallRule;
import org.siskindyke.kernel.document.DocumentRow;
import org.siskindyke.kernel.document.KeyRule;
import org.siskindyke.kernel.document.MatchRule;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.document.TargetSpec;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.id.TeamName;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.kernel.table.Transaction;
import org.siskindyke.plugin.table.EmbeddedTable;
import org.siskindyke.runtime.peer.WireCodec;
import org.siskindyke.runtime.peer.WireMapper;
import org.siskindyke.wire.WireDelta;

/** Measures the cost of the control plane at increasing cluster sizes; prints a line for each measurement and slope. */
public final class Measurements {
    private static final int EXTRAPOLATED_MEMBERS = 3_100;
    private static final long STEADY_MILLIS = 20_000;
    private static final long SETTLE_MILLIS = 15_000;
    private static final long SPREAD_TIMEOUT_MILLIS = 20_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int LOSS_PERCENT = 30;
    private static final int READ_LIMIT_ROWS = 2_000;

    private final PrintStream out;
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

    /** Creates measurements that print to a stream. */
    public Measurements(PrintStream out) {
        this.out = out;
    }

    /** Measures CPU time, messages, bytes and table calls of the control plane at members without changes. */
    public void steady(List<Integer> memberCounts) {
        List<Slope.Point> cpu = new ArrayList<>();
        List<Slope.Point> bytes = new ArrayList<>();
        cluster(memberCounts.get(0), 0).runFor(STEADY_MILLIS);
        for (int members : memberCounts) {
            VirtualCluster cluster = cluster(members, 0);
            cluster.resetCounts();
            long startNanos = threads.getCurrentThreadCpuTime();
            cluster.runFor(STEADY_MILLIS);
            double seconds = STEADY_MILLIS / MILLIS_PER_SECOND;
            double cpuMillis = (threads.getCurrentThreadCpuTime() - startNanos) / NANOS_PER_MILLI / members / seconds;
            double bytesPerSecond = cluster.bytes() / (double) members / seconds;
            cpu.add(new Slope.Point(members, cpuMillis));
            bytes.add(new Slope.Point(members, bytesPerSecond));
            out.printf(
                    "steady members=%d cpuMillisPerSecond=%.3f messagesPerSecond=%.1f bytesPerSecond=%.0f "
                            + "tableReadsPerSecond=%.1f tableWritesPerSecond=%.2f%n",
                    members,
                    cpuMillis,
                    cluster.messages() / (double) members / seconds,
                    bytesPerSecond,
                    cluster.table().reads() / seconds,
                    cluster.table().writes() / seconds);
        }
        printSlope("steady cpuMillisPerSecond", cpu, EXTRAPOLATED_MEMBERS);
        printSlope("steady bytesPerSecond", bytes, EXTRAPOLATED_MEMBERS);
    }

    /** Measures how long a change in the table takes to reach all members; -1 if it does not within the time limit. */
    public void spread(List<Integer> memberCounts, int lossPercent) {
        List<Slope.Point> points = new ArrayList<>();
        for (int members : memberCounts) {
            VirtualCluster cluster = cluster(members, lossPercent);
            long tookMillis = millisUntilReplicated(cluster);
            points.add(new Slope.Point(Math.log(members), tookMillis));
            out.printf("spread members=%d lossPercent=%d millisToEverywhere=%d%n", members, lossPercent, tookMillis);
        }
        Slope slope = Slope.fit(points);
        out.printf(
                "slope spread lossPercent=%d millis=%.0f+%.0f*ln(members) at %d members: %.0f%n",
                lossPercent,
                slope.intercept(),
                slope.perUnit(),
                EXTRAPOLATED_MEMBERS,
                slope.at(Math.log(EXTRAPOLATED_MEMBERS)));
    }

    /** Measures the memory of the replicated state at increasing numbers of slices. */
    public void memory(List<Integer> sliceCounts) {
        List<Slope.Point> points = new ArrayList<>();
        for (int slices : sliceCounts) {
            long before = usedBytes();
            ClusterView view = fullView(EXTRAPOLATED_MEMBERS, slices);
            long stateBytes = usedBytes() - before;
            points.add(new Slope.Point(slices, stateBytes));
            out.printf(
                    "memory members=%d slices=%d rows=%d stateBytes=%d%n",
                    EXTRAPOLATED_MEMBERS, slices, view.replica().size(), stateBytes);
        }
        printSlope("memory stateBytes by slices", points, sliceCounts.get(sliceCounts.size() - 1));
    }

    /** Measures the CPU time to commit, encode and apply one change, at increasing numbers of slices. */
    public void applyChange(List<Integer> sliceCounts) {
        for (int slices : sliceCounts) {
            EmbeddedTable table = filledTable(EXTRAPOLATED_MEMBERS, slices);
            ClusterView view = viewOf(table);
            ServiceName service = ServiceName.of("s0");
            MemberId owner = member(0);
            SliceOwnershipRow ownership = view.ownershipRow(service, owner);
            long startNanos = threads.getCurrentThreadCpuTime();
            int rounds = 200;
            int changeBytes = 0;
            for (int i = 0; i < rounds; i++) {
                SliceOwnershipRow next = new SliceOwnershipRow(
                        service,
                        owner,
                        ownership.slices().stream().map(s -> s.reassigned(0, 0)).toList());
                ownership = next;
                table.commit(Transaction.builder()
                        .put(next.path(), RowCodec.encode(next))
                        .build());
                TableChanges changes = join(table.changesSince(view.replica().version(), READ_LIMIT_ROWS));
                changeBytes = VirtualCluster.bytesOf(changes);
                view.apply(changes, i);
            }
            double micros = (threads.getCurrentThreadCpuTime() - startNanos) / MILLIS_PER_SECOND / rounds;
            out.printf(
                    "change members=%d slices=%d slicesInRow=%d cpuMicros=%.1f bytes=%d%n",
                    EXTRAPOLATED_MEMBERS, slices, ownership.slices().size(), micros, changeBytes);
        }
    }

    /** Measures how a storm of requests that end backend servers is contained, and what that costs. */
    public void crashes(List<Integer> memberCounts) {
        for (int members : memberCounts) {
            VirtualCluster idle = cluster(members, 0);
            VirtualCluster cluster = cluster(members, 0);
            cluster.resetCounts();
            idle.resetCounts();
            long startMillis = cluster.nowMillis();
            CrashStorm.Result result = new CrashStorm(cluster).run();
            idle.runFor(cluster.nowMillis() - startMillis);
            out.printf(
                    "crashes members=%d crashes=%d maxPerRequest=%d lateRuns=%d harmlessBeside=%d harmlessConvicted=%d "
                            + "bytesPerCrash=%d tableWrites=%d knownRequests=%d%n",
                    members,
                    result.crashes(),
                    result.maxCrashes(),
                    result.lateRuns(),
                    result.harmless(),
                    result.harmlessConvicted(),
                    (cluster.bytes() - idle.bytes()) / result.crashes(),
                    cluster.table().writes() - idle.table().writes(),
                    cluster.controllers()
                            .get(0)
                            .view()
                            .suspects()
                            .reportsFor(SuspectDigest.NONE, cluster.nowMillis())
                            .size());
        }
    }

    private VirtualCluster cluster(int members, int lossPercent) {
        VirtualCluster cluster = new VirtualCluster(members, lossPercent);
        for (int i = 0; i < members; i++) {
            cluster.add(i);
        }
        cluster.runFor(SETTLE_MILLIS);
        return cluster;
    }

    private static long commitChange(VirtualCluster cluster) {
        return join(cluster.table()
                        .uncounted()
                        .commit(Transaction.builder()
                                .put(RowPath.document(ServiceName.of("changed")), document("changed", 1))
                                .build()))
                .version();
    }

    private static long millisUntilReplicated(VirtualCluster cluster) {
        long startMillis = cluster.nowMillis();
        return runUntilReplicated(cluster, commitChange(cluster), startMillis);
    }

    private static long runUntilReplicated(VirtualCluster cluster, long version, long startMillis) {
        while (!allHaveVersion(cluster.controllers(), version)) {
            if (cluster.nowMillis() - startMillis > SPREAD_TIMEOUT_MILLIS) {
                return -1;
            }
            cluster.step();
        }
        return cluster.nowMillis() - startMillis;
    }

    private static boolean allHaveVersion(List<MemberController> controllers, long version) {
        return controllers.stream().allMatch(n -> VirtualCluster.hasVersion(n, version));
    }

    private static ClusterView fullView(int members, int slices) {
        return viewOf(filledTable(members, slices));
    }

    private static ClusterView viewOf(EmbeddedTable table) {
        ClusterView view = new ClusterView();
        TableChanges changes;
        do {
            changes = join(table.changesSince(view.replica().version(), READ_LIMIT_ROWS));
            view.apply(copy(changes), 0);
        } while (changes.rows().size() >= READ_LIMIT_ROWS);
        return view;
    }

    /** Copies rows through the codec, so that a view shares no memory with the table. */
    private static TableChanges copy(TableChanges changes) {
        return WireMapper.fromWire(WireCodec.decode(WireCodec.encode(WireMapper.toWire(changes)), new WireDelta()));
    }

    private static EmbeddedTable filledTable(int members, int slices) {
        EmbeddedTable table = new EmbeddedTable();
        int services = Math.max(1, slices / KeyRule.MAX_SLICES + 1);
        int slicesPerService = slices / services;
        for (int s = 0; s < services; s++) {
            String service = "s" + s;
            join(table.commit(Transaction.builder()
                    .put(RowPath.document(ServiceName.of(service)), document(service, slicesPerService))
                    .build()));
        }
        for (int m = 0; m < members; m++) {
            putMember(table, m, services, slicesPerService, members);
        }
        return table;
    }

    private static void putMember(EmbeddedTable table, int index, int services, int slicesPerService, int members) {
        ServiceName service = ServiceName.of("s" + index % services);
        MemberId id = member(index);
        MemberRow row = new MemberRow(
                id,
                InstanceName.of("i" + index),
                FailureDomain.of("d" + index % VirtualCluster.DOMAINS),
                new MemberAddress("10.0.0.1", 8081, 8080, 8082),
                MemberState.ALIVE,
                1,
                member((index + 1) % members),
                List.of(new TargetAnnouncement(
                        service, TargetName.of(service + "-" + index), "10.0.0.1", 9000, true, true)),
                null,
                null,
                List.of());
        int owners = Math.max(1, members / services);
        int position = index / services;
        List<OwnedSlice> ownedSlices = IntStream.range(0, slicesPerService)
                .filter(i -> i % owners == position)
                .mapToObj(i -> new OwnedSlice(i, 1, 0))
                .toList();
        join(table.commit(Transaction.builder()
                .put(RowPath.member(id), RowCodec.encode(row))
                .put(
                        RowPath.sliceOwnership(service, id),
                        RowCodec.encode(new SliceOwnershipRow(service, id, ownedSlices)))
                .build()));
    }

    private static MemberId member(int index) {
        return MemberId.of(InstanceName.of("i" + index), 1);
    }

    private static String document(String service, int slices) {
        ServiceDocument document = new ServiceDocument(
                ServiceName.of(service),
                TeamName.of("team"),
                new MatchRule(List.of(), "/" + service),
                new KeyRule(true, KeyRule.KeySource.PATH_SEGMENT, null, 1, slices),
                List.of(new TargetSpec(TargetName.of("t"), FailureDomain.of("d0"), 12, 120)),
                new CallRule(1_000, null, null, null, null, null, null),
                BalanceRule.EVEN);
        return RowCodec.encode(new DocumentRow(document, 1, "measure", 0));
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }

    private static long usedBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private void printSlope(String name, List<Slope.Point> points, double extrapolatedSize) {
        Slope slope = Slope.fit(points);
        Slope.Point largest = points.get(points.size() - 1);
        out.printf(
                "slope %s = %.4f + %.6f * size; at %.0f: %.3f; at size %.0f: fitted %.3f, measured %.3f%n",
                name,
                slope.intercept(),
                slope.perUnit(),
                extrapolatedSize,
                slope.at(extrapolatedSize),
                largest.size(),
                slope.at(largest.size()),
                largest.value());
    }

    /** Runs all measurements. */
    public void all() {
        crashes(List.of(30, 100, 300));
        steady(List.of(36, 100, 300, 600));
        spread(List.of(36, 100, 300, 600), 0);
        spread(List.of(36, 100, 300), LOSS_PERCENT);
        memory(List.of(1_000, 10_000, 100_000));
        applyChange(List.of(1_000, 10_000, 100_000));
    }
}
