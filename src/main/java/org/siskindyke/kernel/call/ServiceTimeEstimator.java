package org.siskindyke.kernel.call;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long calls take at one target, by kind. Confined to one thread.
 *
 * <p>An estimate fades while no call of its kind ends: a kind that is refused because its calls seem too long gives no
 * samples, so without that it would be refused for good.
 */
public final class ServiceTimeEstimator {
    /** Share of a new sample in the average, so that about the last ten calls count. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Assumed of a kind before its first call has ended; short, so that the first calls are let in. */
    private static final double INITIAL_ESTIMATE_MILLIS = 50;
    /** Time without samples in which an estimate falls to half. */
    private static final double HALF_LIFE_MILLIS = 1_000;
    /** Kinds beyond which new ones share the first guess, to bound memory. */
    private static final int MAX_KINDS = 1_000;

    private final Map<String, Estimate> byKind = new HashMap<>();
    private final Estimate all = new Estimate();

    /** The average of one kind and when it was last heard of. */
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

    /** Takes the time of a call that has ended. */
    public void onEnded(String kind, long tookMillis, long nowMillis) {
        all.onEnded(tookMillis, nowMillis);
        if (byKind.size() < MAX_KINDS || byKind.containsKey(kind)) {
            byKind.computeIfAbsent(kind, k -> new Estimate()).onEnded(tookMillis, nowMillis);
        }
    }

    /** Returns the expected time of a call, in milliseconds. */
    public double expectedMillis(String kind, long nowMillis) {
        Estimate estimate = byKind.get(kind);
        return estimate == null ? INITIAL_ESTIMATE_MILLIS : estimate.decayedMillis(nowMillis);
    }

    /** Returns the average over all kinds, in milliseconds. */
    public double averageMillis(long nowMillis) {
        return all.decayedMillis(nowMillis);
    }
}
