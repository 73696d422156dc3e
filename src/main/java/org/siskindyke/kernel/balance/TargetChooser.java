package org.siskindyke.kernel.balance;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.place.Distance;

/**
 * Chooses the target of a call to an undivided service, for calls that are routed by a {@code RouteTable}; for those of
 * service documents, a {@link TargetPolicy} does. Confined to one thread.
 */
public interface TargetChooser {
    /**
     * Chooses a target.
     *
     * @param candidates members with a target of the service; a list that is passed again must not have changed
     * @param tried members that the call was already sent to
     * @param loads returns the load of a member's target
     * @param remainingMillis time left until the call's latency objective
     * @param nowMillis current time on the monotonic clock
     * @return the member; empty if all candidates were tried
     */
    Optional<MemberRow> choose(
            List<MemberRow> candidates,
            Set<MemberId> tried,
            Function<MemberId, ReportedTargetLoad> loads,
            long remainingMillis,
            long nowMillis);

    /** Returns how far away a candidate is in the view of the router that chooses. */
    Distance distance(MemberRow candidate);

    /** Returns the name of the method of choice among these candidates, as shown to operators. */
    String method(List<MemberRow> candidates);

    /**
     * Returns the expected time of a call that is sent to one of these candidates now, in milliseconds, including the
     * way to its failure domain.
     */
    double expectedMillis(List<MemberRow> candidates, MemberRow candidate, ReportedTargetLoad load, long nowMillis);
}
