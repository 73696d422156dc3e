package org.siskindyke.kernel.crash;

import java.util.List;

/**
 * How strongly a request is suspected of crashing the backend servers that run it.
 *
 * @param crashed the backend servers that ended while they ran it, without those that an answer has cleared it of
 * @param level what the evidence says
 * @param youngestMillis the age of the latest of these crashes, in milliseconds; 0 where there is none
 * @param retryAfterMillis the time until a convicted request may run again, in milliseconds; 0 for any other
 */
public record SuspectAssessment(
        List<TargetIncarnation> crashed, Level level, long youngestMillis, long retryAfterMillis) {
    /** The assessment of a request without any evidence. */
    public static final SuspectAssessment NONE = new SuspectAssessment(List.of(), Level.NONE, 0, 0);

    /** What the evidence against a request says. */
    public enum Level {
        /** There is none. */
        NONE,
        /** One backend server has ended; the request runs apart from other suspected ones. */
        SUSPECTED,
        /**
         * Several have ended, but other suspected requests were running too; the request runs at one backend server of
         * its service only.
         */
        ON_TRIAL,
        /** The request must not run. */
        CONVICTED
    }

    /** Returns whether there is any evidence against the request. */
    public boolean isSuspected() {
        return level != Level.NONE;
    }

    /** Returns whether the request must not run. */
    public boolean isConvicted() {
        return level == Level.CONVICTED;
    }

    /** Returns whether the request may run at one backend server of its service only. */
    public boolean isOnTrial() {
        return level == Level.ON_TRIAL;
    }
}
