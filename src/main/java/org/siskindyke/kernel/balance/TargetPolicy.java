package org.siskindyke.kernel.balance;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;

/** Chooses the target of a call to an undivided service. */
public interface TargetPolicy {
    /** Returns the name by which settings choose the policy. */
    String name();

    /**
     * Chooses a target.
     *
     * @param candidates members with a target of the service
     * @param loads what this router has seen of each
     * @param random a source of random numbers of the calling thread
     * @param nowMillis the present
     * @return the member, empty where there is no candidate
     */
    Optional<MemberRow> choose(
            List<MemberRow> candidates, Function<MemberId, TargetLoad> loads, RandomGenerator random, long nowMillis);
}
