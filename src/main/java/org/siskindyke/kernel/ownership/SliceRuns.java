package org.siskindyke.kernel.ownership;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/** Operations on runs of adjacent slices: parts, numbers and joining. */
public final class SliceRuns {
    private SliceRuns() {}

    /** Returns the indexes of all slices of some runs. */
    public static BitSet bits(Collection<OwnedSlice> runs) {
        BitSet slices = new BitSet();
        runs.forEach(run -> slices.set(run.index(), run.end()));
        return slices;
    }

    /** Returns a set of indexes as bits. */
    public static BitSet bitsOf(Collection<Integer> indexes) {
        BitSet slices = new BitSet();
        indexes.forEach(slices::set);
        return slices;
    }

    /** Returns the number of slices of some runs. */
    public static int count(Collection<OwnedSlice> runs) {
        int count = 0;
        for (OwnedSlice run : runs) {
            count += run.count();
        }
        return count;
    }

    /** Returns the indexes of all slices of some runs, in the order of the runs. */
    public static List<Integer> indexes(Collection<OwnedSlice> runs) {
        List<Integer> indexes = new ArrayList<>();
        for (OwnedSlice run : runs) {
            for (int index = run.index(); index < run.end(); index++) {
                indexes.add(index);
            }
        }
        return indexes;
    }

    /** Returns the parts of runs that consist of the given slices. */
    public static List<OwnedSlice> only(List<OwnedSlice> runs, BitSet slices) {
        List<OwnedSlice> parts = new ArrayList<>();
        for (OwnedSlice run : runs) {
            int from = slices.nextSetBit(run.index());
            while (from >= 0 && from < run.end()) {
                int to = Math.min(slices.nextClearBit(from), run.end());
                parts.add(from == run.index() && to == run.end() ? run : run.part(from, to));
                from = slices.nextSetBit(to);
            }
        }
        return parts;
    }

    /** Returns the parts of runs that contain none of the given slices. */
    public static List<OwnedSlice> except(List<OwnedSlice> runs, BitSet slices) {
        BitSet others = bits(runs);
        others.andNot(slices);
        return only(runs, others);
    }

    /**
     * Returns some slices for their next owner. Adjacent runs of one block with the same handover data, which are
     * pieces of a block that was split, become one run again, in a generation above those of all of them. No slice has
     * had the generations that it leaves out, so these cannot be confused with a later owner's. Pieces that make up a
     * whole block are joined also where their handover data differ, and lose them.
     *
     * @param runs the slices; no slice is in two of them
     * @param blockSlices number of slices of a block, which runs do not extend beyond
     * @param era the present era of the table
     * @param settleMillis returns the settle time of a run at its next owner; the longest one counts for joined runs
     * @param handover returns the handover data of a run for its next owner; null for none
     */
    public static List<OwnedSlice> reassign(
            List<OwnedSlice> runs,
            int blockSlices,
            long era,
            ToLongFunction<OwnedSlice> settleMillis,
            Function<OwnedSlice, String> handover) {
        List<OwnedSlice> joined = new ArrayList<>();
        List<OwnedSlice> sorted = new ArrayList<>(runs);
        sorted.sort(Comparator.comparingInt(OwnedSlice::index));
        for (OwnedSlice run : sorted) {
            OwnedSlice next = run.reassignedWithHandover(settleMillis.applyAsLong(run), handover.apply(run), era);
            OwnedSlice before = joined.isEmpty() ? null : joined.get(joined.size() - 1);
            if (before != null && mayJoin(before, next, blockSlices)) {
                joined.set(joined.size() - 1, join(before, next));
            } else {
                joined.add(next);
            }
        }
        return withWholeBlocksJoined(joined, blockSlices);
    }

    private static List<OwnedSlice> withWholeBlocksJoined(List<OwnedSlice> runs, int blockSlices) {
        List<OwnedSlice> joined = new ArrayList<>();
        int i = 0;
        while (i < runs.size()) {
            OwnedSlice run = runs.get(i++);
            int end = (run.index() / blockSlices + 1) * blockSlices;
            int next = i;
            OwnedSlice all = run;
            while (next < runs.size() && all.end() < end && runs.get(next).index() == all.end()) {
                all = join(all, runs.get(next++)).withoutHandover();
            }
            boolean isWhole = next > i && all.count() == blockSlices;
            joined.add(isWhole ? all : run);
            i = isWhole ? next : i;
        }
        return joined;
    }

    private static boolean mayJoin(OwnedSlice before, OwnedSlice next, int blockSlices) {
        return before.end() == next.index()
                && before.index() / blockSlices == (next.end() - 1) / blockSlices
                && Objects.equals(before.handover(), next.handover());
    }

    private static OwnedSlice join(OwnedSlice before, OwnedSlice next) {
        return new OwnedSlice(
                before.index(),
                Math.max(before.generation(), next.generation()),
                Math.max(before.settleMillis(), next.settleMillis()),
                before.handover(),
                before.count() + next.count());
    }
}
