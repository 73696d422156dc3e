package org.siskindyke.kernel.balance;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HotRangePolicyTest {
    private static final int SEEDS = 5;
    /** 6 slots and 133 ms a call: 45 calls per second. */
    private static final double MILLIS_PER_CALL = 133;

    private static final int SLOTS = 6;

    private static List<HotRangePolicy.Candidate> candidates(int count, double callsPerSecond) {
        List<HotRangePolicy.Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            candidates.add(new HotRangePolicy.Candidate(
                    MemberId.of(InstanceName.of("i" + i), 1),
                    new TargetUsage(callsPerSecond, MILLIS_PER_CALL, SLOTS, 4)));
        }
        return candidates;
    }

    private static TargetUsage usage() {
        return new TargetUsage(0, MILLIS_PER_CALL, SLOTS, 4);
    }

    private static List<SliceLoad> range(int first, int count, double each) {
        List<SliceLoad> slices = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            slices.add(new SliceLoad(first + i, each));
        }
        return slices;
    }

    /**
     * Guards against a block of hot neighbouring keys that stays on one server while 36 others have room. The bounds
     * leave room for other seeds.
     */
    @Example
    void blocksOfHotKeysAreServedInTimeByManyServers() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            HotRangeLoad before = new HotRangeLoad(seed, false, true).run();
            HotRangeLoad after = new HotRangeLoad(seed, true, true).run();
            String both = before + System.lineSeparator() + after;
            assertTrue(after.inTimeShare() > before.inTimeShare() + 0.1, both);
            assertTrue(after.busiestOverMean() < before.busiestOverMean() / 2, both);
            assertTrue(after.churn() < before.churn(), both);
        }
    }

    /** Guards against splits that chance causes, which would move keys in deployments without hot ones. */
    @Example
    void withoutHotKeysNoRangeIsSplit() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            HotRangeLoad load = new HotRangeLoad(seed, true, false).run();
            assertEquals(HotRangeLoad.BLOCKS, load.runs(), load::toString);
        }
    }

    /** Guards against a slice that asks for more than any target has, and moves from one to the next. */
    @Example
    void aSingleHotSliceStays() {
        assertFalse(new HotRangePolicy().isConcentrated(usage(), range(100, 1, 400)));
        List<HotRangePolicy.Move> moves =
                new HotRangePolicy().plan(usage(), range(100, 2, 200), candidates(20, 10), 32);
        assertTrue(moves.stream().mapToInt(move -> move.slices().size()).sum() < 2, moves::toString);
    }

    /** Guards against splits in a general overload, which only move it. */
    @Example
    void nothingMovesToTargetsWithoutRoom() {
        assertEquals(List.of(), new HotRangePolicy().plan(usage(), range(100, 20, 10), candidates(20, 60), 32));
    }

    /** Guards against new targets that get more than they have room for, and slices that go to two of them. */
    @Example
    void eachPartFitsItsTargetAndTheHottestPartStays() {
        List<HotRangePolicy.Move> moves =
                new HotRangePolicy().plan(usage(), range(100, 25, 10), candidates(20, 10), 32);
        List<Integer> moved =
                moves.stream().flatMap(move -> move.slices().stream()).toList();
        assertEquals(moved.size(), moved.stream().distinct().count());
        assertEquals(22, moved.size());
        assertTrue(moves.stream().allMatch(move -> move.slices().size() <= 3), moves::toString);
    }
}
