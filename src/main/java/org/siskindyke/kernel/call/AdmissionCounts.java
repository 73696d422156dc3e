package org.siskindyke.kernel.call;

/**
 * Decisions of an {@link AdmissionPolicy} since its creation.
 *
 * @param refusedOnArrival calls that were refused at once
 * @param refusedWaiting calls that were refused after they had waited
 * @param refusedReturning calls, of those refused at once, whose callers had returned when they were told to
 * @param movedToFront calls that went before all ranks, since their kind was served much less than others
 */
public record AdmissionCounts(long refusedOnArrival, long refusedWaiting, long refusedReturning, long movedToFront) {
    /** No decisions; also of a policy that does not count them. */
    public static final AdmissionCounts NONE = new AdmissionCounts(0, 0, 0, 0);

    /** Returns the decisions since an earlier count. */
    public AdmissionCounts minus(AdmissionCounts earlier) {
        return new AdmissionCounts(
                refusedOnArrival - earlier.refusedOnArrival,
                refusedWaiting - earlier.refusedWaiting,
                refusedReturning - earlier.refusedReturning,
                movedToFront - earlier.movedToFront);
    }
}
