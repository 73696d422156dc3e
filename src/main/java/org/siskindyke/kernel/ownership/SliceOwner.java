package org.siskindyke.kernel.ownership;

import org.siskindyke.kernel.id.MemberId;

/**
 * The owner of a slice, as far as this router knows.
 *
 * @param member the owner; null where the slice has none
 * @param generation the generation of the ownership
 * @param usableFromMillis time on this router's clock from which the owner may serve the slice
 */
public record SliceOwner(MemberId member, long generation, long usableFromMillis) {
    /** Returns whether a member owns the slice and may serve it already. */
    public boolean isUsableBy(MemberId candidate, long nowMillis) {
        return candidate.equals(member) && nowMillis >= usableFromMillis;
    }
}
