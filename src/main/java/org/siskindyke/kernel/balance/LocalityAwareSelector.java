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
    private static final double ELSEWHERE_MILLIS = 20;
    /** Longer than any call; keeps the ranks of targets apart. */
    private static final double RANK_MILLIS = 1e9;

    private final FailureDomain own;

    /** Creates the choice of a router in a failure domain. */
    public LocalityAwareSelector(FailureDomain own) {
        this.own = own;
    }

    /**
     * Chooses a target.
     *
     * @param candidates members with a target of the service
     * @param tried members that the call was sent to before
     * @param views what this router has seen of each
     * @param leftMillis time left within which the answer is worth most
     * @param nowMillis the present
     * @return the member, empty where there is none left
     */
    public Optional<MemberRow> choose(
            List<MemberRow> candidates,
            Set<MemberId> tried,
            Function<MemberId, ReportedTargetLoad> views,
            long leftMillis,
            long nowMillis) {
        MemberRow best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (MemberRow candidate : candidates) {
            if (tried.contains(candidate.id())) {
                continue;
            }
            double cost = cost(candidate, views.apply(candidate.id()), leftMillis, nowMillis);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the expected time, plus a rank: in time nearby, in time elsewhere, late nearby, late elsewhere. */
    private double cost(MemberRow candidate, ReportedTargetLoad view, long leftMillis, long nowMillis) {
        boolean nearby = candidate.failureDomain().equals(own);
        double expectedMillis = view.expectedMillis(nowMillis) + (nearby ? 0 : ELSEWHERE_MILLIS);
        int rank = (nearby ? 0 : 1) + (expectedMillis <= leftMillis ? 0 : 2);
        int avoided = view.isAvoided(nowMillis) ? 4 : 0;
        return expectedMillis + (rank + avoided) * RANK_MILLIS;
    }
}
