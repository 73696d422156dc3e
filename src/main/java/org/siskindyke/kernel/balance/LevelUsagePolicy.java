package org.siskindyke.kernel.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.document.ServiceDocument;

/**
 * Levels the use of slots between two targets, whatever their speed, with as few slices as possible.
 *
 * <p>The weight of churn raises the difference that is tolerated. A move takes at most a small share of the service's
 * slices, but for a target that owns almost none.
 */
@AutoService(SliceBalancePolicy.class)
public final class LevelUsagePolicy implements SliceBalancePolicy {
    private static final double LEAST_TOLERANCE = 0.10;
    private static final double TOLERANCE_PER_CHURN_WEIGHT = 0.40;
    private static final double MOST_SHARE_IN_A_MOVE = 0.02;

    @Override
    public String name() {
        return "level-usage";
    }

    @Override
    public List<Integer> choose(
            ServiceDocument document, TargetUsage mine, List<SliceLoad> slices, TargetUsage theirs) {
        double tolerance = LEAST_TOLERANCE
                + TOLERANCE_PER_CHURN_WEIGHT * document.balance().churnWeight();
        if (mine.weightedUtilisation() <= theirs.weightedUtilisation() * (1 + tolerance)) {
            return List.of();
        }
        double excess = (mine.weightedUtilisation() - theirs.weightedUtilisation())
                / (mine.costPerCall() + theirs.costPerCall());
        return fewestUpTo(excess, slices, mostSlices(document, mine, theirs));
    }

    private static int mostSlices(ServiceDocument document, TargetUsage mine, TargetUsage theirs) {
        int usual = (int) Math.max(1, document.keys().slices() * MOST_SHARE_IN_A_MOVE);
        boolean nearlyEmpty = theirs.sliceCount() * 2 < mine.sliceCount();
        return nearlyEmpty ? Math.max(usual, (mine.sliceCount() - theirs.sliceCount()) / 2) : usual;
    }

    /** Takes the heaviest slices that fit into what is to be moved. */
    private static List<Integer> fewestUpTo(double excess, List<SliceLoad> slices, int mostSlices) {
        List<SliceLoad> byWeight = new ArrayList<>(slices);
        byWeight.sort(
                Comparator.comparingDouble(SliceLoad::callsPerSecond).reversed().thenComparing(SliceLoad::index));
        List<Integer> chosen = new ArrayList<>();
        double left = excess;
        for (SliceLoad slice : byWeight) {
            double weight = TargetUsage.weight(slice.callsPerSecond());
            if (chosen.size() < mostSlices && weight <= left) {
                chosen.add(slice.index());
                left -= weight;
            }
        }
        return chosen;
    }
}
