package org.siskindyke.kernel.balance;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;

/**
 * Selects the target of a call to an undivided service: in the router's own failure domain if the call is expected to
 * meet its latency objective there, otherwise in another failure domain where it is expected to meet it. A call that
 * would be late in all of them stays in the own domain, since a late response is worth too little to justify the cost
 * of traffic between failure domains.
 *
 * <p>For calls that are routed by a {@code RouteTable}; for those of service documents, a {@link TargetPolicy} selects.
 */
public final class LocalityAwareSelector {
    /** Additional time of a call to another failure domain: two round trips and the processing on the way. */
    private static final double CROSS_DOMAIN_PENALTY_MILLIS = 20;
    /** Cost of one rank; longer than any call, so that the rank of a target outweighs its expected time. */
    private static final double RANK_COST_MILLIS = 1e9;

    private final FailureDomain ownDomain;

    /** Creates the selector of a router in a failure domain. */
    public LocalityAwareSelector(FailureDomain ownDomain) {
        this.ownDomain = ownDomain;
    }

    /**
     * Selects a target.
     *
     * @param candidates members with a target of the service
     * @param tried members that the call was already sent to
     * @param loads returns the load of a member's target
     * @param remainingMillis time left until the call's latency objective
     * @param nowMillis current time on the monotonic clock
     * @return the member; empty if all candidates were tried
     */
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
        double expectedMillis = load.expectedMillis(nowMillis) + (sameDomain ? 0 : CROSS_DOMAIN_PENALTY_MILLIS);
        int rank = (sameDomain ? 0 : 1) + (expectedMillis <= remainingMillis ? 0 : 2);
        int avoidanceRank = load.isAvoided(nowMillis) ? 4 : 0;
        return expectedMillis + (rank + avoidanceRank) * RANK_COST_MILLIS;
    }
}
