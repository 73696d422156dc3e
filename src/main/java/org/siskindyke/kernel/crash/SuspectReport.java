package org.siskindyke.kernel.crash;

import java.util.List;

/**
 * What a router knows about a request during whose runs backend servers ended. Merging reports in any order, any number
 * of times, gives the same knowledge.
 *
 * @param request the request
 * @param crashes the backend servers that ended, at least one
 */
public record SuspectReport(RequestFingerprint request, List<CrashEvidence> crashes) {
    /** Copies the list. */
    public SuspectReport {
        crashes = List.copyOf(crashes);
    }
}
