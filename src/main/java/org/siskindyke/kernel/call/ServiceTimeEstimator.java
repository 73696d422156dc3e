package org.siskindyke.kernel.call;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the service time of calls at one target, by kind, as an exponential moving average. Confined to one thread.
 * Times are on the monotonic clock.
 *
 * <p>An estimate decays while no call of its kind ends. Otherwise a kind that is refused because its estimate is too
 * high would yield no new samples and be refused forever.
 */
public final class ServiceTimeEstimator {
    /** Weight of a new sample in the average, so that about the last ten calls count. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Estimate for a kind before its first call has ended; low, so that the first calls are admitted. */
    private static final double INITIAL_ESTIMATE_MILLIS = 50;
    /** Half-life of an estimate without samples; the decay starts one expected service time after the last sample. */
    private static final double HALF_LIFE_MILLIS = 1_000;
    /** Maximum number of kinds, to bound memory; further kinds keep the initial estimate. */
    private static final int MAX_KINDS = 1_000;

    private final Map<String, Estimate> byKind = new HashMap<>();
    private final Estimate all = new Estimate();

    /** The average of one kind and the time of its last sample. */
    private static final class Estimate {
        private double millis = INITIAL_ESTIMATE_MILLIS;
        private boolean hasSamples;
        private long lastSampleMillis;

        private void onEnded(long tookMillis, long nowMillis) {
            double current = hasSamples ? decayedMillis(nowMillis) : tookMillis;
            millis = current + SAMPLE_WEIGHT * (tookMillis - current);
            hasSamples = true;
            lastSampleMillis = nowMillis;
        }

        private double decayedMillis(long nowMillis) {
            double idleMillis = Math.max(0, nowMillis - lastSampleMillis - millis);
            return hasSamples ? millis * Math.pow(0.5, idleMillis / HALF_LIFE_MILLIS) : INITIAL_ESTIMATE_MILLIS;
        }
    }

    /** Records the service time of a call that has ended. */
    public void onEnded(String kind, long tookMillis, long nowMillis) {
        all.onEnded(tookMillis, nowMillis);
        if (byKind.size() < MAX_KINDS || byKind.containsKey(kind)) {
            byKind.computeIfAbsent(kind, k -> new Estimate()).onEnded(tookMillis, nowMillis);
        }
    }

    /** Returns the expected service time of a call of a kind, in milliseconds. */
    public double expectedMillis(String kind, long nowMillis) {
        Estimate estimate = byKind.get(kind);
        return estimate == null ? INITIAL_ESTIMATE_MILLIS : estimate.decayedMillis(nowMillis);
    }

    /** Returns the average service time over all kinds, in milliseconds. */
    public double averageMillis(long nowMillis) {
        return all.decayedMillis(nowMillis);
    }
}
