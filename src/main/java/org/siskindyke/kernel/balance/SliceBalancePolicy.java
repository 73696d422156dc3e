package org.siskindyke.kernel.balance;

import java.util.List;

import org.siskindyke.kernel.document.ServiceDocument;

/** Decides which slices an owner hands to another owner of the same service. */
public interface SliceBalancePolicy {
    /** Returns the name by which settings choose the policy. */
    String name();

    /**
     * Chooses slices to hand over.
     *
     * @param document the service's document
     * @param source how busy the owner's target is
     * @param slices the owner's slices
     * @param destination how busy the other owner's target is
     * @return indexes of the slices to hand over; empty where no move is worth its churn
     */
    List<Integer> choose(ServiceDocument document, TargetUsage source, List<SliceLoad> slices, TargetUsage destination);
}
