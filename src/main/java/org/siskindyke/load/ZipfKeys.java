package org.siskindyke.load;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Draws keys by a Zipf distribution: the key of rank n is drawn in proportion to 1 / n^exponent. */
public final class ZipfKeys {
    private final double[] cumulative;
    private final String prefix;
    private volatile int rotation;

    /**
     * Creates the distribution.
     *
     * @param prefix first part of each key
     * @param keys number of keys
     * @param exponent 0 for a uniform distribution
     */
    public ZipfKeys(String prefix, int keys, double exponent) {
        this.prefix = prefix;
        cumulative = new double[keys];
        double sum = 0;
        for (int i = 0; i < keys; i++) {
            sum += 1 / Math.pow(i + 1, exponent);
            cumulative[i] = sum;
        }
    }

    /** Draws a key. */
    public String draw(RandomGenerator random) {
        double point = random.nextDouble() * cumulative[cumulative.length - 1];
        int found = Arrays.binarySearch(cumulative, point);
        int rank = found >= 0 ? found : -found - 1;
        return prefix + (Math.min(rank, cumulative.length - 1) + rotation) % cumulative.length;
    }

    /** Makes other keys the hottest: each rank now belongs to the key that many places further. */
    public void rotate(int places) {
        rotation = places;
    }
}
