package org.siskindyke.kernel.balance;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import com.google.common.collect.MapMaker;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.place.Distance;
import org.siskindyke.kernel.place.Topology;

/**
 * Chooses the target of a call to an undivided service where many routers choose at once and know the load of each
 * target by old reports only. Draws the target at random, by shares that would make the loads even (see
 * {@link LoadSample}), so that the routers do not all choose the target that was the least loaded in the last reports.
 *
 * <p>The own failure domain comes first as long as the call is expected to meet its objective there, then the others
 * of the region. Another region gets the call only if it is expected to meet its objective there and nowhere nearer. A
 * call that would be late everywhere stays as near as possible.
 *
 * <p>A choice looks at a few targets of each distance, in turn, so that its time does not grow with their number.
 */
public final class StaleLoadSelector implements TargetChooser {
    /** The name of this method of choice. */
    public static final String METHOD = "proportional-filling";

    /** Additional time of a call to another failure domain: two round trips and the processing on the way. */
    private static final double CROSS_DOMAIN_PENALTY_MILLIS = 20;
    /** The same for another region, with a one-way latency of 12 ms. */
    private static final double CROSS_REGION_PENALTY_MILLIS = 60;

    /**
     * Bounds of the random part of the time left that a call may take in its own failure domain. With a fixed one, all
     * routers would leave a failure domain at the same time and return at the same time. In simulations of reports
     * that are 0.9 s old (StaleLoadSelectorTest), narrower bounds moved more calls to and fro, and lower ones moved
     * calls that would have been in time.
     */
    private static final double MIN_PART_OF_TIME_LEFT = 0.5;

    private static final double MAX_PART_OF_TIME_LEFT = 1.5;

    /**
     * Distance between two draws: the golden ratio, whose multiples are spread evenly over the interval from 0 to 1, so
     * that a router's calls follow the shares more closely than independent draws would.
     */
    private static final double DRAW_STEP = 0.6180339887498949;

    private final FailureDomain ownDomain;
    private final Topology topology;
    private final RandomGenerator random;
    private final Map<List<MemberRow>, CandidateTiers> tiersByCandidates =
            new MapMaker().weakKeys().makeMap();
    private final LoadSample sample = new LoadSample();
    private double drawPoint;

    /**
     * Creates the selector of a router.
     *
     * @param ownDomain the router's failure domain
     * @param topology the regions of the failure domains
     * @param random source of all random decisions, seeded differently at each router
     */
    public StaleLoadSelector(FailureDomain ownDomain, Topology topology, RandomGenerator random) {
        this.ownDomain = ownDomain;
        this.topology = topology;
        this.random = random;
        this.drawPoint = random.nextDouble();
    }

    /** What one choice is about. */
    private record Request(
            CandidateTiers tiers,
            Set<MemberId> tried,
            Function<MemberId, ReportedTargetLoad> loads,
            double remainingMillis,
            long nowMillis,
            boolean avoided) {}

    @Override
    public Optional<MemberRow> choose(
            List<MemberRow> candidates,
            Set<MemberId> tried,
            Function<MemberId, ReportedTargetLoad> loads,
            long remainingMillis,
            long nowMillis) {
        // Weak keys are compared by identity: the directory keeps a list until the members change.
        CandidateTiers tiers = tiersByCandidates.computeIfAbsent(
                candidates, list -> new CandidateTiers(list, ownDomain, topology, random));
        MemberRow chosen = choose(new Request(tiers, tried, loads, remainingMillis, nowMillis, false));
        return Optional.ofNullable(
                chosen != null ? chosen : choose(new Request(tiers, tried, loads, remainingMillis, nowMillis, true)));
    }

    /** Chooses among the targets that are avoided or among those that are not; null if there are none. */
    private MemberRow choose(Request request) {
        drawPoint = (drawPoint + DRAW_STEP) % 1;
        double remainingMillis = request.remainingMillis();
        double limitMillis = remainingMillis * random.nextDouble(MIN_PART_OF_TIME_LEFT, MAX_PART_OF_TIME_LEFT);
        MemberRow chosen = chooseInTime(request, Distance.SAME_DOMAIN, limitMillis);
        if (chosen == null) {
            chosen = chooseInTime(request, Distance.SAME_REGION, Math.min(limitMillis, remainingMillis));
        }
        if (chosen == null
                && !request.tiers().tier(Distance.OTHER_REGION).members().isEmpty()) {
            chosen = chooseBeforeOtherRegions(request, Math.max(limitMillis, remainingMillis));
        }
        return chosen != null ? chosen : chooseLate(request);
    }

    /** Chooses among all, another region last, for a call that is expected to use most of its time. */
    private MemberRow chooseBeforeOtherRegions(Request request, double limitMillis) {
        MemberRow chosen = chooseInTime(request, Distance.SAME_DOMAIN, limitMillis);
        if (chosen == null) {
            chosen = chooseInTime(request, Distance.SAME_REGION, limitMillis);
        }
        return chosen != null ? chosen : chooseInTime(request, Distance.OTHER_REGION, request.remainingMillis());
    }

    private MemberRow chooseInTime(Request request, Distance distance, double limitMillis) {
        collect(request, distance);
        int drawn = sample.drawInTime(limitMillis - penaltyMillis(distance), drawPoint);
        return drawn < 0 ? null : sample.member(drawn);
    }

    private MemberRow chooseLate(Request request) {
        for (Distance distance : Distance.values()) {
            collect(request, distance);
            if (sample.size() > 0) {
                return sample.member(sample.drawAny(drawPoint));
            }
        }
        return null;
    }

    /** Fills the sample with the next targets at a distance that the call may be sent to. */
    private void collect(Request request, Distance distance) {
        sample.clear();
        CandidateTiers.Tier tier = request.tiers().tier(distance);
        int start = tier.takeStart();
        List<MemberRow> members = tier.members();
        for (int i = 0; i < members.size() && sample.size() < LoadSample.SIZE; i++) {
            MemberRow member = members.get((start + i) % members.size());
            if (!request.tried().contains(member.id())) {
                ReportedTargetLoad load = request.loads().apply(member.id());
                if (load.isAvoided(request.nowMillis()) == request.avoided()) {
                    sample.add(member, load, request.nowMillis());
                }
            }
        }
        sample.fill();
    }

    private static double penaltyMillis(Distance distance) {
        return switch (distance) {
            case SAME_DOMAIN -> 0;
            case SAME_REGION -> CROSS_DOMAIN_PENALTY_MILLIS;
            case OTHER_REGION -> CROSS_REGION_PENALTY_MILLIS;
        };
    }

    @Override
    public Distance distance(MemberRow candidate) {
        return topology.distance(ownDomain, candidate.failureDomain());
    }

    @Override
    public String method(List<MemberRow> candidates) {
        return METHOD;
    }

    @Override
    public double expectedMillis(
            List<MemberRow> candidates, MemberRow candidate, ReportedTargetLoad load, long nowMillis) {
        sample.clear();
        sample.add(candidate, load, nowMillis);
        sample.fill();
        return sample.expectedMillis(0) + penaltyMillis(distance(candidate));
    }
}
