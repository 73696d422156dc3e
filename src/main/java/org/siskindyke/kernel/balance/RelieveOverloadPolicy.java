package org.siskindyke.kernel.balance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.document.ServiceDocument;

/**
 * Moves slices only away from an overloaded target, or to a target that owns less than a quarter as many slices as the
 * source. The keys of a moved slice are unavailable for about one heartbeat, so an uneven load within the capacity of
 * both targets does not justify a move.
 */
@AutoService(SliceBalancePolicy.class)
public final class RelieveOverloadPolicy implements SliceBalancePolicy {
    /** Utilisation from which a target counts as overloaded; above it, calls begin to queue. */
    private static final double OVERLOAD_UTILISATION = 0.8;
    /** Minimum difference of utilisation between source and destination. */
    private static final double MIN_DIFFERENCE = 0.2;
    /**
     * Maximum share of the source's slices in one move, so that the load is measured again between moves; does not
     * limit a move to a target that owns less than a quarter as many.
     */
    private static final double MAX_MOVED_SHARE = 0.25;

    @Override
    public String name() {
        return "relieve-overload";
    }

    @Override
    public List<Integer> choose(
            ServiceDocument document, TargetUsage source, List<SliceLoad> slices, TargetUsage destination) {
        if (destination.sliceCount() * 4 < source.sliceCount()) {
            return lightestUpTo(slices, (source.sliceCount() - destination.sliceCount()) / 2, Double.MAX_VALUE);
        }
        double difference = source.utilisation() - destination.utilisation();
        if (source.utilisation() < OVERLOAD_UTILISATION || difference < MIN_DIFFERENCE) {
            return List.of();
        }
        double callsPerSecond = difference / (source.utilisationPerCall() + destination.utilisationPerCall());
        int maxSlices = (int) Math.max(1, source.sliceCount() * MAX_MOVED_SHARE);
        return heaviestThatFit(slices, maxSlices, callsPerSecond);
    }

    /**
     * Returns slices that together carry at most the given load, the heaviest first, so that few keys move for it. A
     * slice that alone exceeds the load stays, since it would only move the overload to the destination; one without
     * load stays, since it relieves nobody.
     */
    private static List<Integer> heaviestThatFit(List<SliceLoad> slices, int maxSlices, double maxCallsPerSecond) {
        List<SliceLoad> byLoad = new ArrayList<>(slices);
        byLoad.sort(
                Comparator.comparingDouble(SliceLoad::callsPerSecond).reversed().thenComparing(SliceLoad::index));
        byLoad.removeIf(slice -> slice.callsPerSecond() <= 0);
        return firstUpTo(byLoad, maxSlices, maxCallsPerSecond);
    }

    /** Returns the lightest slices within both limits. */
    private static List<Integer> lightestUpTo(List<SliceLoad> slices, int maxSlices, double maxCallsPerSecond) {
        List<SliceLoad> byLoad = new ArrayList<>(slices);
        byLoad.sort(Comparator.comparingDouble(SliceLoad::callsPerSecond).thenComparing(SliceLoad::index));
        return firstUpTo(byLoad, maxSlices, maxCallsPerSecond);
    }

    private static List<Integer> firstUpTo(List<SliceLoad> ordered, int maxSlices, double maxCallsPerSecond) {
        List<Integer> chosen = new ArrayList<>();
        double remaining = maxCallsPerSecond;
        for (SliceLoad slice : ordered) {
            if (chosen.size() < maxSlices && slice.callsPerSecond() <= remaining) {
                chosen.add(slice.index());
                remaining -= slice.callsPerSecond();
            }
        }
        return chosen;
    }
}
