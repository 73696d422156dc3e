package org.siskindyke.kernel.balance;

import java.util.List;

import org.siskindyke.kernel.document.ServiceDocument;

/**
 * Decides which slices an owner hands over to another owner of the same service. A {@code RouterProcess} loads the
 * policy of its settings by {@link java.util.ServiceLoader}; an {@code InstanceRouter} uses {@link
 * RelieveOverloadPolicy}.
 */
public interface SliceBalancePolicy {
    /** Returns the name by which settings select the policy. */
    String name();

    /**
     * Chooses slices to hand over.
     *
     * @param document the service's document
     * @param source load of the owner's target
     * @param slices the owner's slices
     * @param destination load of the other owner's target
     * @return indexes of the slices to hand over; empty if the benefit of a move does not justify its churn
     */
    List<Integer> choose(ServiceDocument document, TargetUsage source, List<SliceLoad> slices, TargetUsage destination);
}
