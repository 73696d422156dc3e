package org.siskindyke.trial;

import java.util.List;

/** Judges how evenly slices are spread. */
public final class SliceCounts {
    private static final double MAX_RATIO_TO_MEAN = 1.3;

    private SliceCounts() {}

    /**
     * Tells whether every slice has an owner and none owns far more than the mean.
     *
     * @param counts slices of each owner
     * @param slices slices of the service
     */
    public static boolean areBalanced(List<Integer> counts, int slices) {
        int total = counts.stream().mapToInt(Integer::intValue).sum();
        int max = counts.stream().mapToInt(Integer::intValue).max().orElse(0);
        return total == slices && max <= Math.ceil(MAX_RATIO_TO_MEAN * slices / counts.size());
    }
}
