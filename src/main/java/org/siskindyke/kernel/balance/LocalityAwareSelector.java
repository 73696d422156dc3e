package org.siskindyke.kernel.balance;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.place.Distance;
import org.siskindyke.kernel.place.Topology;

/**
 * Selects the target of a call to an undivided service: in the router's own failure domain if the call is expected to
 * meet its latency objective there, otherwise in another failure domain where it is expected to meet it. A call that
 * would be late in all of them stays in the own domain, since a late response is worth too little to justify the cost
 * of traffic between failure domains.
 *
 * <p>Compares all candidates. Where many routers choose at once, all of them choose the same target until its next
 * report; {@link StaleLoadSelector} is for those deployments.
 */
public final class LocalityAwareSelector implements TargetChooser {
    /** The name of this method of choice. */
    public static final String METHOD = "least-expected-time";

    /** Additional time of a call to another failure domain: two round trips and the processing on the way. */
    private static final double CROSS_DOMAIN_PENALTY_MILLIS = 20;
    /** Cost of one rank; longer than any call, so that the rank of a target outweighs its expected time. */
    private static final double RANK_COST_MILLIS = 1e9;

    private final FailureDomain ownDomain;

    /** Creates the selector of a router in a failure domain. */
    public LocalityAwareSelector(FailureDomain ownDomain) {
        this.ownDomain = ownDomain;
    }

    @Override
    public Optional<MemberRow> choose(
            List<MemberRow> candidates,
            Set<MemberId> tried,
            Function<MemberId, ReportedTargetLoad> loads,
            long remainingMillis,
            long nowMillis) {
        MemberRow best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (MemberRow candidate : candidates) {
            if (tried.contains(candidate.id())) {
                continue;
            }
            double cost = cost(candidate, loads.apply(candidate.id()), remainingMillis, nowMillis);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the expected time plus the cost of the target's rank. From best to worst: in time in the own domain, in
     * time in another one, late in the own domain, late in another one; then the avoided targets in the same order.
     */
    private double cost(MemberRow candidate, ReportedTargetLoad load, long remainingMillis, long nowMillis) {
        boolean sameDomain = candidate.failureDomain().equals(ownDomain);
        double expectedMillis = expectedMillis(candidate, load, nowMillis);
        int rank = (sameDomain ? 0 : 1) + (expectedMillis <= remainingMillis ? 0 : 2);
        int avoidanceRank = load.isAvoided(nowMillis) ? 4 : 0;
        return expectedMillis + (rank + avoidanceRank) * RANK_COST_MILLIS;
    }

    @Override
    public Distance distance(MemberRow candidate) {
        return Topology.UNKNOWN.distance(ownDomain, candidate.failureDomain());
    }

    @Override
    public String method(List<MemberRow> candidates) {
        return METHOD;
    }

    @Override
    public double expectedMillis(
            List<MemberRow> candidates, MemberRow candidate, ReportedTargetLoad load, long nowMillis) {
        return expectedMillis(candidate, load, nowMillis);
    }

    private double expectedMillis(MemberRow candidate, ReportedTargetLoad load, long nowMillis) {
        boolean sameDomain = candidate.failureDomain().equals(ownDomain);
        return load.expectedMillis(nowMillis) + (sameDomain ? 0 : CROSS_DOMAIN_PENALTY_MILLIS);
    }
}
