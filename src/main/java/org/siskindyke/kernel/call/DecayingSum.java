package org.siskindyke.kernel.call;

/** A sum whose past summands decay exponentially. Confined to one thread; times are on the monotonic clock. */
final class DecayingSum {
    private final double decayMillis;
    private double sum;
    private long lastMillis;

    /**
     * Creates an empty sum.
     *
     * @param decayMillis time in which a summand decays to 1/e; the sum is about what was added within this time
     */
    DecayingSum(double decayMillis) {
        this.decayMillis = decayMillis;
    }

    void add(double summand, long nowMillis) {
        sum = value(nowMillis) + summand;
        lastMillis = nowMillis;
    }

    double value(long nowMillis) {
        return sum == 0 ? 0 : sum * Math.exp((lastMillis - nowMillis) / decayMillis);
    }
}
