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
    private static final double SAMPLE_SHARE = 0.1;
    /** Assumed of a kind before its first call has ended; short, so that the first calls are let in. */
    private static final double FIRST_GUESS_MILLIS = 50;
    /** Time without samples in which an estimate falls to half. */
    private static final double HALF_LIFE_MILLIS = 1_000;
    /** Kinds beyond which new ones share the first guess, to bound memory. */
    private static final int MOST_KINDS = 1_000;

    private final Map<String, Estimate> byKind = new HashMap<>();
    private final Estimate all = new Estimate();

    /** The average of one kind and when it was last heard of. */
    private static final class Estimate {
        private double millis = FIRST_GUESS_MILLIS;
        private boolean known;
        private long sampledMillis;

        private void onEnded(long tookMillis, long nowMillis) {
            double present = known ? fadedMillis(nowMillis) : tookMillis;
            millis = present + SAMPLE_SHARE * (tookMillis - present);
            known = true;
            sampledMillis = nowMillis;
        }

        private double fadedMillis(long nowMillis) {
            double silentMillis = Math.max(0, nowMillis - sampledMillis - millis);
            return known ? millis * Math.pow(0.5, silentMillis / HALF_LIFE_MILLIS) : FIRST_GUESS_MILLIS;
        }
    }

    /** Takes the time of a call that has ended. */
    public void onEnded(String kind, long tookMillis, long nowMillis) {
        all.onEnded(tookMillis, nowMillis);
        if (byKind.size() < MOST_KINDS || byKind.containsKey(kind)) {
            byKind.computeIfAbsent(kind, k -> new Estimate()).onEnded(tookMillis, nowMillis);
        }
    }

    /** Returns the expected time of a call, in milliseconds. */
    public double expectedMillis(String kind, long nowMillis) {
        Estimate known = byKind.get(kind);
        return known == null ? FIRST_GUESS_MILLIS : known.fadedMillis(nowMillis);
    }

    /** Returns the average over all kinds, in milliseconds. */
    public double averageMillis(long nowMillis) {
        return all.fadedMillis(nowMillis);
    }
}
