package org.siskindyke.load;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Draws keys from a Zipf distribution: the probability of the key of rank n is proportional to 1 / n^exponent. */
public final class ZipfKeys {
    private final double[] cumulative;
    private final String prefix;
    private volatile int rotation;

    /**
     * Creates the distribution.
     *
     * @param prefix prefix of each key, which its number follows
     * @param keys number of keys
     * @param exponent exponent of the distribution; 0 for a uniform one
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

    /** Returns a random key. */
    public String draw(RandomGenerator random) {
        double point = random.nextDouble() * cumulative[cumulative.length - 1];
        int found = Arrays.binarySearch(cumulative, point);
        int rank = found >= 0 ? found : -found - 1;
        return prefix + (Math.min(rank, cumulative.length - 1) + rotation) % cumulative.length;
    }

    /**
     * Makes other keys the hottest, from any thread.
     *
     * @param places how many places the ranks are shifted from their original keys; replaces any earlier shift
     */
    public void rotate(int places) {
        rotation = places;
    }
}
