package org.siskindyke.runtime;

import java.time.Duration;

import org.siskindyke.kernel.place.Topology;

/**
 * What a deployment's settings say of it beyond one router. A deployment that says nothing is served as before these
 * settings existed, see {@link #DEFAULT}.
 *
 * @param topology the regions and their failure domains
 * @param rankedAdmission whether calls compete for too little room, so that admission ranks them by what their callers
 *     lose, see docs/design/admission-under-overload.md
 * @param coldExcessRatio requests that a cold backend server bears in a second, as a multiple of its configured rate
 * @param coldExtraRequests requests that it bears in a second in addition
 * @param evacuation time within which an acknowledged evacuation must be in force
 */
public record DeploymentSettings(
        Topology topology,
        boolean rankedAdmission,
        double coldExcessRatio,
        double coldExtraRequests,
        Duration evacuation) {
    /** One region, no ranks, and no tolerance of a cold backend server beyond its configured rate. */
    public static final DeploymentSettings DEFAULT =
            new DeploymentSettings(Topology.UNKNOWN, false, 1, 0, Duration.ofSeconds(5));
}
