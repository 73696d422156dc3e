package org.siskindyke.trial;

import java.util.List;

/** Judges how evenly slices are spread. */
public final class SliceCounts {
    private static final double LEVEL_SHARE_ABOVE_MEAN = 1.3;

    private SliceCounts() {}

    /**
     * Tells whether every slice has an owner and none owns far more than the mean.
     *
     * @param counts slices of each owner
     * @param slices slices of the service
     */
    public static boolean areBalanced(List<Integer> counts, int slices) {
        int total = counts.stream().mapToInt(Integer::intValue).sum();
        int most = counts.stream().mapToInt(Integer::intValue).max().orElse(0);
        return total == slices && most <= Math.ceil(LEVEL_SHARE_ABOVE_MEAN * slices / counts.size());
    }
}
