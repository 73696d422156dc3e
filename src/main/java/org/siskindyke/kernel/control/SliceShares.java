package org.siskindyke.kernel.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.ownership.OwnedSlice;

/** Divides slices among members so that each owns as equal a number as possible. */
final class SliceShares {
    private SliceShares() {}

    private record Level(int count, MemberId member) {}

    /**
     * Divides slices.
     *
     * @param counts the members and the number of slices that each owns already
     * @param slices the slices to divide; a run goes to one member as a whole
     * @return the slices that each member gets; members that get none are left out
     */
    static Map<MemberId, List<OwnedSlice>> divideEvenly(Map<MemberId, Integer> counts, List<OwnedSlice> slices) {
        PriorityQueue<Level> lowest =
                new PriorityQueue<>(Comparator.comparingInt(Level::count).thenComparing(Level::member));
        counts.forEach((member, count) -> lowest.add(new Level(count, member)));
        Map<MemberId, List<OwnedSlice>> shares = new HashMap<>();
        for (OwnedSlice slice : slices) {
            Level next = lowest.remove();
            shares.computeIfAbsent(next.member(), m -> new ArrayList<>()).add(slice);
            lowest.add(new Level(next.count() + slice.count(), next.member()));
        }
        return shares;
    }
}
