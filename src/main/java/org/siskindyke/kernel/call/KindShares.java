package org.siskindyke.kernel.call;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells which kinds of calls are served a much smaller share than others at one target. Confined to one thread; times
 * are on the monotonic clock.
 */
final class KindShares {
    /** Time over which shares are taken; a kind with 2 calls a second has about 8 in it. */
    private static final double DECAY_MILLIS = 4_000;
    /** Offered calls below which the share of a kind says nothing. */
    private static final double MIN_OFFERED = 1;
    /** Maximum number of kinds, to bound memory; further kinds are never behind. */
    private static final int MAX_KINDS = 1_000;

    private final Map<String, Counts> byKind = new HashMap<>();

    /** Calls of one kind that were offered, and those that were accepted. */
    private static final class Counts {
        private final DecayingSum offered = new DecayingSum(DECAY_MILLIS);
        private final DecayingSum accepted = new DecayingSum(DECAY_MILLIS);

        private double share(long nowMillis) {
            return accepted.value(nowMillis) / offered.value(nowMillis);
        }
    }

    void onOffered(String kind, long nowMillis) {
        if (byKind.size() < MAX_KINDS || byKind.containsKey(kind)) {
            byKind.computeIfAbsent(kind, k -> new Counts()).offered.add(1, nowMillis);
        }
    }

    void onAccepted(String kind, long nowMillis) {
        Counts counts = byKind.get(kind);
        if (counts != null) {
            counts.accepted.add(1, nowMillis);
        }
    }

    /** Returns whether the share of a kind is below a fraction of the largest share of another kind. */
    boolean isBehind(String kind, double fraction, long nowMillis) {
        Counts own = byKind.get(kind);
        if (own == null || own.offered.value(nowMillis) < MIN_OFFERED) {
            return false;
        }
        double largest = 0;
        for (Map.Entry<String, Counts> other : byKind.entrySet()) {
            boolean counts =
                    !other.getKey().equals(kind) && other.getValue().offered.value(nowMillis) >= MIN_OFFERED;
            largest = counts ? Math.max(largest, other.getValue().share(nowMillis)) : largest;
        }
        return own.share(nowMillis) < fraction * largest;
    }
}
