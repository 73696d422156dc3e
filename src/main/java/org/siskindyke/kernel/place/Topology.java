package org.siskindyke.kernel.place;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.Region;

/**
 * The regions of a deployment and the failure domains in them, as the settings list them. Immutable.
 *
 * @param regionByDomain the region of each failure domain
 */
public record Topology(Map<FailureDomain, Region> regionByDomain) {
    /** A deployment whose settings list no failure domains; all of them count as one region. */
    public static final Topology UNKNOWN = new Topology(Map.of());

    /** Copies the map. */
    public Topology {
        regionByDomain = Map.copyOf(regionByDomain);
    }

    /** Returns the region of a failure domain; empty if the settings do not list it. */
    public Optional<Region> regionOf(FailureDomain domain) {
        return Optional.ofNullable(regionByDomain.get(domain));
    }

    /** Returns whether there are several regions. */
    public boolean hasRegions() {
        return new HashSet<>(regionByDomain.values()).size() > 1;
    }

    /**
     * Returns the distance between two failure domains. A failure domain that the settings do not list counts as one of
     * the same region, since nothing says that it is far away.
     */
    public Distance distance(FailureDomain from, FailureDomain to) {
        if (from.equals(to)) {
            return Distance.SAME_DOMAIN;
        }
        Region region = regionByDomain.get(from);
        Region other = regionByDomain.get(to);
        boolean sameRegion = region == null || other == null || region.equals(other);
        return sameRegion ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }
}
