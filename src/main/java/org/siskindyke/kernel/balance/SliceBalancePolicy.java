package org.siskindyke.kernel.balance;

import java.util.List;
import java.util.Optional;

import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.ownership.HeldSlice;

/** Decides which slices of a divided service should move. */
public interface SliceBalancePolicy {
    /**
     * What a policy knows of a member.
     *
     * @param member the member
     * @param slices the slices it owns
     */
    record MemberLoad(MemberId member, List<HeldSlice> slices) {}

    /** Returns the name by which settings choose the policy. */
    String name();

    /**
     * Proposes one move.
     *
     * @param document the service's document
     * @param members the members that can own its slices
     * @return the move, empty where none is worth its churn
     */
    Optional<MoveProposal> propose(ServiceDocument document, List<MemberLoad> members);
}
