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
 * time, else where it ends soonest. Traffic between failure domains costs.
 */
public final class NearbyFirst {
    /** How much longer a call may take nearby than elsewhere before it is sent elsewhere, in milliseconds. */
    private static final double NEARBY_ADVANTAGE_MILLIS = 60;

    private final FailureDomain own;

    /** Creates the choice of a router in a failure domain. */
    public NearbyFirst(FailureDomain own) {
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
            Function<MemberId, TargetView> views,
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

    private double cost(MemberRow candidate, TargetView view, long leftMillis, long nowMillis) {
        double expected = view.expectedMillis(nowMillis);
        if (view.isAvoided(nowMillis)) {
            return Double.MAX_VALUE / 2 + expected;
        }
        if (!candidate.failureDomain().equals(own)) {
            return expected + NEARBY_ADVANTAGE_MILLIS;
        }
        return expected <= leftMillis ? expected / 4 : expected;
    }
}
