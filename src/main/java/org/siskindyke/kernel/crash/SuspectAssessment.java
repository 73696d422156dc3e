package org.siskindyke.kernel.crash;

import java.util.List;

/**
 * How strongly a request is suspected of crashing the backend servers that run it.
 *
 * @param crashed the backend servers that ended while they ran it, without those that an answer has cleared it of
 * @param convicted whether the request must not run
 * @param youngestMillis the age of the latest of these crashes, in milliseconds; 0 where there is none
 * @param retryAfterMillis the time until a convicted request may run again, in milliseconds; 0 for any other
 */
public record SuspectAssessment(
        List<TargetIncarnation> crashed, boolean convicted, long youngestMillis, long retryAfterMillis) {
    /** The assessment of a request without any evidence. */
    public static final SuspectAssessment NONE = new SuspectAssessment(List.of(), false, 0, 0);

    /** Returns whether there is any evidence against the request. */
    public boolean isSuspected() {
        return !crashed.isEmpty();
    }
}
