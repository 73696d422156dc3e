package org.siskindyke.kernel.call;

import java.util.HashMap;
import java.util.Map;

/** Learns how long calls take at one target, by kind. Confined to one thread. */
public final class ServiceTimes {
    /** Share of a new sample in the average, so that about the last ten calls count. */
    private static final double SAMPLE_SHARE = 0.1;
    /** Assumed before the first call has ended. */
    private static final double FIRST_GUESS_MILLIS = 100;
    /** Kinds beyond which new ones share the average of all, to bound memory. */
    private static final int MOST_KINDS = 1_000;

    private final Map<String, Double> millisByKind = new HashMap<>();
    private double millis = FIRST_GUESS_MILLIS;

    /** Takes the time of a call that has ended. */
    public void onEnded(String kind, long tookMillis) {
        millis += SAMPLE_SHARE * (tookMillis - millis);
        Double known = millisByKind.get(kind);
        if (known != null) {
            millisByKind.put(kind, known + SAMPLE_SHARE * (tookMillis - known));
        } else if (millisByKind.size() < MOST_KINDS) {
            millisByKind.put(kind, (double) tookMillis);
        }
    }

    /** Returns the expected time of a call, in milliseconds. */
    public double millis(String kind) {
        Double known = millisByKind.get(kind);
        return known == null ? millis : known;
    }

    /** Returns the average over all kinds, in milliseconds. */
    public double averageMillis() {
        return millis;
    }
}
