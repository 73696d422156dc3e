package org.siskindyke.kernel.balance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.random.RandomGenerator;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.place.Distance;
import org.siskindyke.kernel.place.Topology;

/** The candidates of a choice by their distance from a router. */
final class CandidateTiers {
    private final Map<Distance, Tier> tiers = new EnumMap<>(Distance.class);

    CandidateTiers(List<MemberRow> candidates, FailureDomain ownDomain, Topology topology, RandomGenerator random) {
        for (Distance distance : Distance.values()) {
            List<MemberRow> members = new ArrayList<>();
            for (MemberRow candidate : candidates) {
                if (topology.distance(ownDomain, candidate.failureDomain()) == distance) {
                    members.add(candidate);
                }
            }
            Collections.shuffle(members, new Random(random.nextLong()));
            tiers.put(distance, new Tier(List.copyOf(members)));
        }
    }

    /** Returns the candidates at a distance. */
    Tier tier(Distance distance) {
        return tiers.get(distance);
    }

    /** The candidates at one distance, in random order. */
    static final class Tier {
        private final List<MemberRow> members;
        private int start;

        private Tier(List<MemberRow> members) {
            this.members = members;
        }

        List<MemberRow> members() {
            return members;
        }

        /**
         * Returns where a choice begins to look, which moves on by a sample with each one. A tier that fits into a
         * sample is always looked at from its beginning, so that successive draws spread over all of it.
         */
        int takeStart() {
            int taken = start;
            start = members.size() <= LoadSample.SIZE ? 0 : (start + LoadSample.SIZE) % members.size();
            return taken;
        }
    }
}
