package org.siskindyke.kernel.balance;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;

/**
 * Chooses the target of a call to an undivided service: in the router's own failure domain while a call there ends in
 * time, else in another one where it does. A call that is late anywhere stays nearby, since traffic between failure
 * domains costs a part of what an answer is worth, and a late answer is worth little.
 */
public final class LocalityAwareSelector {
    /** How much longer a call takes elsewhere, in milliseconds: two round trips and the processors on the way. */
    private static final double CROSS_DOMAIN_PENALTY_MILLIS = 20;
    /** Longer than any call; keeps the ranks of targets apart. */
    private static final double RANK_COST_MILLIS = 1e9;

    private final FailureDomain ownDomain;

    /** Creates the choice of a router in a failure domain. */
    public LocalityAwareSelector(FailureDomain ownDomain) {
        this.ownDomain = ownDomain;
    }

    /**
     * Chooses a target.
     *
     * @param candidates members with a target of the service
     * @param tried members that the call was sent to before
     * @param loads what this router has seen of each
     * @param remainingMillis time left within which the answer is worth most
     * @param nowMillis the present
     * @return the member, empty where there is none left
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

    /** Returns the expected time, plus a rank: in time nearby, in time elsewhere, late nearby, late elsewhere. */
    private double cost(MemberRow candidate, ReportedTargetLoad load, long remainingMillis, long nowMillis) {
        boolean sameDomain = candidate.failureDomain().equals(ownDomain);
        double expectedMillis = load.expectedMillis(nowMillis) + (sameDomain ? 0 : CROSS_DOMAIN_PENALTY_MILLIS);
        int rank = (sameDomain ? 0 : 1) + (expectedMillis <= remainingMillis ? 0 : 2);
        int avoidanceRank = load.isAvoided(nowMillis) ? 4 : 0;
        return expectedMillis + (rank + avoidanceRank) * RANK_COST_MILLIS;
    }
}
