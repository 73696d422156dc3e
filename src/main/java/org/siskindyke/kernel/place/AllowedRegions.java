package org.siskindyke.kernel.place;

import java.util.Set;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.Region;

/**
 * The regions whose servers may get the requests of a route. Immutable.
 *
 * @param regions the regions; empty where all are allowed
 */
public record AllowedRegions(Set<Region> regions) {
    /** All regions are allowed. */
    public static final AllowedRegions ALL = new AllowedRegions(Set.of());

    /** Copies the set. */
    public AllowedRegions {
        regions = Set.copyOf(regions);
    }

    /** Returns whether servers in some regions may not get the requests. */
    public boolean isRestricted() {
        return !regions.isEmpty();
    }

    /**
     * Returns whether servers in a failure domain may get the requests. A restricted request may not go to a failure
     * domain whose region is unknown.
     */
    public boolean permits(FailureDomain domain, Topology topology) {
        return !isRestricted()
                || topology.regionOf(domain).filter(regions::contains).isPresent();
    }
}
