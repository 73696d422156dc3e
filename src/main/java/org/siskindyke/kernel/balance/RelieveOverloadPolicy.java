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
    private static final double OVERLOAD_UTILISATION = 0.8;
    /** Share of the slots that the other target must have free beyond this one. */
    private static final double MIN_DIFFERENCE = 0.2;
    /** Part of a target's slices that one move may take, so that the load can be measured again in between. */
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
        return lightestUpTo(slices, maxSlices, callsPerSecond);
    }

    /**
     * Takes many light slices rather than one heavy one: a slice that holds most of the load would only carry the
     * overload along.
     */
    private static List<Integer> lightestUpTo(List<SliceLoad> slices, int maxSlices, double maxCallsPerSecond) {
        List<SliceLoad> byLoad = new ArrayList<>(slices);
        byLoad.sort(Comparator.comparingDouble(SliceLoad::callsPerSecond).thenComparing(SliceLoad::index));
        List<Integer> chosen = new ArrayList<>();
        double remaining = maxCallsPerSecond;
        for (SliceLoad slice : byLoad) {
            if (chosen.size() < maxSlices && slice.callsPerSecond() <= remaining) {
                chosen.add(slice.index());
                remaining -= slice.callsPerSecond();
            }
        }
        return chosen;
    }
}
