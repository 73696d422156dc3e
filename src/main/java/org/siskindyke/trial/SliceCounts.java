package org.siskindyke.trial;

import java.util.List;

/** Checks whether the slices of a service are distributed evenly. */
public final class SliceCounts {
    private static final double MAX_RATIO_TO_MEAN = 1.3;

    private SliceCounts() {}

    /**
     * Returns whether every slice has an owner and no member owns far more slices than the mean.
     *
     * @param counts number of slices of each member
     * @param slices number of slices of the service
     */
    public static boolean areBalanced(List<Integer> counts, int slices) {
        int total = counts.stream().mapToInt(Integer::intValue).sum();
        int max = counts.stream().mapToInt(Integer::intValue).max().orElse(0);
        return total == slices && max <= Math.ceil(MAX_RATIO_TO_MEAN * slices / counts.size());
    }
}
