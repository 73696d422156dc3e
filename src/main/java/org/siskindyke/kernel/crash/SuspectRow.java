package org.siskindyke.kernel.crash;

import java.util.List;

import org.siskindyke.kernel.id.ClientAccount;

/**
 * The table's row about a request that was convicted of crashing backend servers. It has no times, since members share
 * no clock: the evidence counts as new when a member first reads the row.
 *
 * @param crashes the crashes
 */
public record SuspectRow(List<CrashRow> crashes) {
    /** Copies the list; null, as in rows of earlier versions, becomes an empty list. */
    public SuspectRow {
        crashes = crashes == null ? List.of() : List.copyOf(crashes);
    }

    /**
     * One crash.
     *
     * @param target the backend server that ended
     * @param caller who sent the request
     * @param alone whether the request was the only one that was running, or the only suspected one
     */
    public record CrashRow(TargetIncarnation target, ClientAccount caller, boolean alone) {}

    /** Returns the row with the evidence of a report that no answer has cleared. */
    public static SuspectRow of(SuspectReport report) {
        return new SuspectRow(report.crashes().stream()
                .filter(crash -> !crash.cleared())
                .map(crash -> new CrashRow(crash.target(), crash.caller(), crash.alone()))
                .toList());
    }

    /** Returns the evidence as a report. */
    public SuspectReport toReport(RequestFingerprint request) {
        return new SuspectReport(
                request,
                crashes.stream()
                        .map(crash -> new CrashEvidence(crash.target(), crash.caller(), crash.alone(), 0, false))
                        .toList());
    }
}
