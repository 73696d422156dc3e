package org.siskindyke.benchmark;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.siskindyke.kernel.balance.LocalityAwareSelector;
import org.siskindyke.kernel.balance.PowerOfTwoChoicesPolicy;
import org.siskindyke.kernel.balance.ReportedTargetLoad;
import org.siskindyke.kernel.balance.StaleLoadSelector;
import org.siskindyke.kernel.balance.TargetLoad;
import org.siskindyke.kernel.balance.TargetLoadReport;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.ownership.KeyHash;
import org.siskindyke.kernel.place.Topology;

/** Measures the decisions that a router makes for each call. Run the {@code main} method. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class TargetChoiceBenchmark {
    /** Failure domains that the targets are spread over. */
    private static final int DOMAINS = 3;

    /** Number of targets that a choice is made from. */
    @Param({"4", "15", "64", "3100"})
    public int targets;

    private final LocalityAwareSelector exact = new LocalityAwareSelector(FailureDomain.of("d0"));
    private final StaleLoadSelector stale =
            new StaleLoadSelector(FailureDomain.of("d0"), Topology.UNKNOWN, new SplittableRandom(1));
    private final Map<MemberId, ReportedTargetLoad> reportedLoads = new HashMap<>();
    private final PowerOfTwoChoicesPolicy policy = new PowerOfTwoChoicesPolicy();
    private final List<MemberRow> candidates = new ArrayList<>();
    private final Map<MemberId, TargetLoad> loads = new HashMap<>();

    @Setup
    public void fill() {
        for (int i = 0; i < targets; i++) {
            MemberId id = MemberId.of(InstanceName.of("i" + i), 1);
            candidates.add(new MemberRow(
                    id,
                    InstanceName.of("i" + i),
                    FailureDomain.of("d" + i % DOMAINS),
                    new MemberAddress("10.0.0.1", 1, 2, 3),
                    MemberState.ALIVE,
                    1,
                    MemberId.TABLE,
                    List.of(),
                    null,
                    null,
                    List.of()));
            loads.put(id, new TargetLoad());
            ReportedTargetLoad reported = new ReportedTargetLoad();
            reported.onReport(new TargetLoadReport(4, i % 5, i % 3, 100 + i % 50, 0), i % 900);
            reportedLoads.put(id, reported);
        }
    }

    @Benchmark
    public Optional<MemberRow> chooseTarget() {
        return policy.choose(candidates, loads::get, ThreadLocalRandom.current(), 1);
    }

    @Benchmark
    public Optional<MemberRow> chooseByLeastExpectedTime() {
        return exact.choose(candidates, Set.of(), reportedLoads::get, 500, 1_000);
    }

    @Benchmark
    public Optional<MemberRow> chooseByProportionalFilling() {
        return stale.choose(candidates, Set.of(), reportedLoads::get, 500, 1_000);
    }

    @Benchmark
    public int hashKey() {
        return KeyHash.sliceOf("crock-12345", 16_384);
    }

    public static void main(String[] arguments) throws RunnerException {
        new Runner(new OptionsBuilder()
                        .include(TargetChoiceBenchmark.class.getSimpleName())
                        .forks(1)
                        .warmupIterations(2)
                        .warmupTime(TimeValue.seconds(1))
                        .measurementIterations(3)
                        .measurementTime(TimeValue.seconds(1))
                        .addProfiler("gc")
                        .build())
                .run();
    }
}
