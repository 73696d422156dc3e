package org.siskindyke.kernel.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.document.ServiceDocument;

/**
 * Equalizes the slot utilisation of two targets, which may differ in speed, by moving as few slices as possible.
 *
 * <p>A higher churn weight raises the difference that is tolerated. A move takes at most a small share of the service's
 * slices, unless the destination owns less than half as many slices as the source.
 */
@AutoService(SliceBalancePolicy.class)
public final class LevelUsagePolicy implements SliceBalancePolicy {
    /** Relative difference of utilisation that is tolerated at churn weight 0. */
    private static final double MIN_TOLERANCE = 0.10;
    /** Additional tolerance at churn weight 1. */
    private static final double TOLERANCE_PER_CHURN_WEIGHT = 0.40;
    /** Maximum share of the service's slices in one move. */
    private static final double MAX_MOVED_SHARE = 0.02;

    @Override
    public String name() {
        return "level-usage";
    }

    @Override
    public List<Integer> choose(
            ServiceDocument document, TargetUsage source, List<SliceLoad> slices, TargetUsage destination) {
        double tolerance =
                MIN_TOLERANCE + TOLERANCE_PER_CHURN_WEIGHT * document.balance().churnWeight();
        if (source.weightedUtilisation() <= destination.weightedUtilisation() * (1 + tolerance)) {
            return List.of();
        }
        double excess = (source.weightedUtilisation() - destination.weightedUtilisation())
                / (source.utilisationPerCall() + destination.utilisationPerCall());
        return heaviestUpTo(excess, slices, maxSlices(document, source, destination));
    }

    private static int maxSlices(ServiceDocument document, TargetUsage source, TargetUsage destination) {
        int usualMax = (int) Math.max(1, document.keys().slices() * MAX_MOVED_SHARE);
        boolean nearlyEmpty = destination.sliceCount() * 2 < source.sliceCount();
        return nearlyEmpty ? Math.max(usualMax, (source.sliceCount() - destination.sliceCount()) / 2) : usualMax;
    }

    /**
     * Returns at most {@code maxSlices} slices, the heaviest first, whose total weight does not exceed {@code excess}.
     *
     * @param excess calls per second, including the base load of each slice
     */
    private static List<Integer> heaviestUpTo(double excess, List<SliceLoad> slices, int maxSlices) {
        List<SliceLoad> byWeight = new ArrayList<>(slices);
        byWeight.sort(
                Comparator.comparingDouble(SliceLoad::callsPerSecond).reversed().thenComparing(SliceLoad::index));
        List<Integer> chosen = new ArrayList<>();
        double remaining = excess;
        for (SliceLoad slice : byWeight) {
            double weight = TargetUsage.weight(slice.callsPerSecond());
            if (chosen.size() < maxSlices && weight <= remaining) {
                chosen.add(slice.index());
                remaining -= weight;
            }
        }
        return chosen;
    }
}
