package org.siskindyke.kernel.place;

import java.util.Map;
import java.util.Optional;

import org.siskindyke.kernel.id.FailureDomain;

/**
 * The evacuation orders in force. Immutable; all times are on the monotonic clock.
 *
 * @param sinceMillis when the order for each evacuated failure domain was learnt
 */
public record Evacuation(Map<FailureDomain, Long> sinceMillis) {
    /** No failure domain is evacuated. */
    public static final Evacuation NONE = new Evacuation(Map.of());

    /** Fraction of the time allowed for an evacuation in which owners of slices still serve them while they move. */
    private static final double SERVED_SHARE = 0.5;

    /** Copies the map. */
    public Evacuation {
        sinceMillis = Map.copyOf(sinceMillis);
    }

    /** Returns whether no failure domain is evacuated. */
    public boolean isEmpty() {
        return sinceMillis.isEmpty();
    }

    /** Returns whether a failure domain is evacuated. */
    public boolean isEvacuated(FailureDomain domain) {
        return sinceMillis.containsKey(domain);
    }

    /**
     * Returns until when owners in a failure domain serve slices that move out of it; empty if it is not evacuated.
     *
     * @param domain the failure domain
     * @param allowedMillis the time within which an evacuation must be in force
     */
    public Optional<Long> servedUntilMillis(FailureDomain domain, long allowedMillis) {
        return Optional.ofNullable(sinceMillis.get(domain)).map(since -> since + (long) (allowedMillis * SERVED_SHARE));
    }

    /** Returns whether owners in a failure domain serve their slices at a time. */
    public boolean servesSlices(FailureDomain domain, long allowedMillis, long nowMillis) {
        return servedUntilMillis(domain, allowedMillis)
                .map(until -> nowMillis < until)
                .orElse(true);
    }
}
