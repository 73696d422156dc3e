package org.siskindyke.kernel.balance;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.place.Distance;
import org.siskindyke.kernel.place.Topology;

/**
 * Chooses by {@link StaleLoadSelector} where a service has many targets or the deployment several regions, and by
 * {@link LocalityAwareSelector} elsewhere.
 */
public final class ScaledTargetChooser implements TargetChooser {
    /**
     * Number of targets from which old reports make the routers overload one target after the other: such a service
     * also has many routers that choose at once. Services with 3 or 4 targets keep the exact comparison.
     */
    public static final int MANY_TARGETS = 8;

    private final LocalityAwareSelector few;
    private final StaleLoadSelector many;
    private final boolean hasRegions;

    /** Creates a chooser that uses the given ones in a deployment with this topology. */
    public ScaledTargetChooser(LocalityAwareSelector few, StaleLoadSelector many, Topology topology) {
        this.few = few;
        this.many = many;
        this.hasRegions = topology.hasRegions();
    }

    private TargetChooser chooser(List<MemberRow> candidates) {
        return hasRegions || candidates.size() >= MANY_TARGETS ? many : few;
    }

    @Override
    public Optional<MemberRow> choose(
            List<MemberRow> candidates,
            Set<MemberId> tried,
            Function<MemberId, ReportedTargetLoad> loads,
            long remainingMillis,
            long nowMillis) {
        return chooser(candidates).choose(candidates, tried, loads, remainingMillis, nowMillis);
    }

    @Override
    public Distance distance(MemberRow candidate) {
        return many.distance(candidate);
    }

    @Override
    public String method(List<MemberRow> candidates) {
        return chooser(candidates).method(candidates);
    }

    @Override
    public double expectedMillis(
            List<MemberRow> candidates, MemberRow candidate, ReportedTargetLoad load, long nowMillis) {
        return chooser(candidates).expectedMillis(candidates, candidate, load, nowMillis);
    }
}
