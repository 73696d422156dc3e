package org.siskindyke.kernel.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.document.ServiceDocument;

/**
 * Moves slices only from a target that has no room left, or to one that has next to none: a move leaves its keys
 * unserved for about a heartbeat, so an uneven load that everybody has room for is not worth one.
 */
@AutoService(SliceBalancePolicy.class)
public final class RelieveOverloadPolicy implements SliceBalancePolicy {
    /** Share of its slots above which a target is taken for full; beyond it calls begin to wait for each other. */
    private static final double FULL = 0.8;
    /** Share of the slots that the other target must have free beyond this one. */
    private static final double LEAST_DIFFERENCE = 0.2;
    /** Part of a target's slices that one move may take, so that the load can be measured again in between. */
    private static final double MOST_SHARE_IN_A_MOVE = 0.25;

    @Override
    public String name() {
        return "relieve-overload";
    }

    @Override
    public List<Integer> choose(
            ServiceDocument document, TargetUsage mine, List<SliceLoad> slices, TargetUsage theirs) {
        if (theirs.sliceCount() * 4 < mine.sliceCount()) {
            return lightest(slices, (mine.sliceCount() - theirs.sliceCount()) / 2, Double.MAX_VALUE);
        }
        double difference = mine.busyShare() - theirs.busyShare();
        if (mine.busyShare() < FULL || difference < LEAST_DIFFERENCE) {
            return List.of();
        }
        double callsPerSecond = difference / (mine.costPerCall() + theirs.costPerCall());
        int most = (int) Math.max(1, mine.sliceCount() * MOST_SHARE_IN_A_MOVE);
        return lightest(slices, most, callsPerSecond);
    }

    /**
     * Takes many light slices rather than one heavy one: a slice that holds most of the load would only carry the
     * overload along.
     */
    private static List<Integer> lightest(List<SliceLoad> slices, int mostSlices, double mostCallsPerSecond) {
        List<SliceLoad> byLoad = new ArrayList<>(slices);
        byLoad.sort(Comparator.comparingDouble(SliceLoad::callsPerSecond).thenComparing(SliceLoad::index));
        List<Integer> chosen = new ArrayList<>();
        double left = mostCallsPerSecond;
        for (SliceLoad slice : byLoad) {
            if (chosen.size() < mostSlices && slice.callsPerSecond() <= left) {
                chosen.add(slice.index());
                left -= slice.callsPerSecond();
            }
        }
        return chosen;
    }
}
