package org.siskindyke.kernel.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.siskindyke.kernel.document.BalanceRule;
import org.siskindyke.kernel.document.CallRule;
import org.siskindyke.kernel.document.KeyRule;
import org.siskindyke.kernel.document.MatchRule;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.document.TargetSpec;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.id.TeamName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LevelUsagePolicyTest {
    private static final int SLICES = 100;

    private final LevelUsagePolicy policy = new LevelUsagePolicy();

    private static ServiceDocument document(double churnWeight) {
        return new ServiceDocument(
                ServiceName.of("haat"),
                TeamName.of("team"),
                new MatchRule(List.of(), "/haat"),
                new KeyRule(true, KeyRule.KeySource.PATH_SEGMENT, null, 1, SLICES),
                List.of(new TargetSpec(TargetName.of("t"), FailureDomain.of("d"), 12, 120)),
                new CallRule(1_000, null, null, null, null, null, null),
                new BalanceRule(1 - churnWeight, churnWeight));
    }

    private static List<SliceLoad> slices(int count, double callsPerSecond) {
        return IntStream.range(0, count)
                .mapToObj(i -> new SliceLoad(i, callsPerSecond))
                .toList();
    }

    private static TargetUsage usage(List<SliceLoad> slices, double millisPerCall) {
        double calls = slices.stream().mapToDouble(SliceLoad::callsPerSecond).sum();
        return new TargetUsage(calls, millisPerCall, 12, slices.size());
    }

    @Example
    void equallyLoadedTargetsKeepTheirSlices() {
        List<SliceLoad> slices = slices(8, 10);
        assertEquals(List.of(), policy.choose(document(0), usage(slices, 5), slices, usage(slices, 5)));
    }

    @Example
    void theHeaviestSliceThatFitsIsHandedOver() {
        List<SliceLoad> sourceSlices = new ArrayList<>(slices(8, 10));
        sourceSlices.set(3, new SliceLoad(3, 25));
        sourceSlices.set(5, new SliceLoad(5, 500));
        List<Integer> chosen =
                policy.choose(document(0), usage(sourceSlices, 5), sourceSlices, usage(slices(8, 60), 5));
        assertEquals(3, chosen.get(0));
        assertTrue(!chosen.contains(5), "a slice heavier than the difference would only move the overload");
    }

    @Example
    void aSlowerTargetHandsOverAlthoughItRunsFewerCalls() {
        List<SliceLoad> slices = slices(8, 10);
        assertTrue(!policy.choose(document(0), usage(slices, 25), slices, usage(slices, 5))
                .isEmpty());
    }

    @Example
    void theWeightOfChurnKeepsSlicesInPlace() {
        List<SliceLoad> sourceSlices = slices(12, 10);
        TargetUsage destination = usage(slices(10, 10), 5);
        assertTrue(!policy.choose(document(0), usage(sourceSlices, 5), sourceSlices, destination)
                .isEmpty());
        assertEquals(List.of(), policy.choose(document(1), usage(sourceSlices, 5), sourceSlices, destination));
    }

    @Property(tries = 500, seed = "71")
    void aMoveIsSmallAndNeverReversesTheDifference(
            @ForAll @IntRange(min = 1, max = 60) int sourceCount,
            @ForAll @IntRange(min = 1, max = 60) int destinationCount,
            @ForAll @DoubleRange(max = 100) double rate,
            @ForAll @DoubleRange(min = 0.1, max = 50) double sourceMillis,
            @ForAll @DoubleRange(min = 0.1, max = 50) double destinationMillis) {
        List<SliceLoad> sourceSlices = slices(sourceCount, rate);
        TargetUsage source = usage(sourceSlices, sourceMillis);
        TargetUsage destination = usage(slices(destinationCount, rate), destinationMillis);
        List<Integer> chosen = policy.choose(document(0.2), source, sourceSlices, destination);
        boolean nearlyEmpty = destinationCount * 2 < sourceCount;
        assertTrue(nearlyEmpty || chosen.size() <= SLICES * 0.02, "moved " + chosen.size());
        double moved = chosen.size() * TargetUsage.weight(rate);
        double sourceAfter = source.weightedUtilisation() - moved * source.utilisationPerCall();
        double destinationAfter = destination.weightedUtilisation() + moved * destination.utilisationPerCall();
        assertTrue(chosen.isEmpty() || sourceAfter >= destinationAfter - 1e-9, sourceAfter + " < " + destinationAfter);
    }
}
