package org.siskindyke.kernel.balance;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;

/**
 * Selects the target of a call to an undivided service, for calls that are matched by service documents; for those of
 * routes, {@link LocalityAwareSelector} does. Called by several threads at once. Implementations are loaded by {@link
 * java.util.ServiceLoader}.
 */
public interface TargetPolicy {
    /** Returns the name by which settings select the policy. */
    String name();

    /**
     * Selects a target.
     *
     * @param candidates members with a target of the service
     * @param loads returns the load of a member's target
     * @param random random generator of the calling thread
     * @param nowMillis current time on the monotonic clock
     * @return the member; empty if there is no candidate
     */
    Optional<MemberRow> choose(
            List<MemberRow> candidates, Function<MemberId, TargetLoad> loads, RandomGenerator random, long nowMillis);
}
