package org.siskindyke.kernel.balance;

/** What one router has seen of a target. Confined to one thread. */
public final class ReportedTargetLoad {
    /** Assumed until the target has reported; a usual small server. */
    private static final TargetLoadReport DEFAULT_REPORT = new TargetLoadReport(6, 0, 0, 100);
    /** Age after which a report says nothing of the present any more. */
    private static final long REPORT_VALIDITY_MILLIS = 2_000;

    private TargetLoadReport report = DEFAULT_REPORT;
    private long reportedMillis = Long.MIN_VALUE / 2;
    private int inFlight;
    private int inFlightAtReport;
    private long avoidUntilMillis = Long.MIN_VALUE;

    /** Counts a call that is sent. */
    public void onSent() {
        inFlight++;
    }

    /** Counts a call that has ended. */
    public void onEnded() {
        inFlight--;
    }

    /** Takes a report. */
    public void onReport(TargetLoadReport newReport, long nowMillis) {
        report = newReport;
        reportedMillis = nowMillis;
        inFlightAtReport = inFlight;
    }

    /** Keeps calls away for a while. */
    public void avoidUntil(long untilMillis) {
        avoidUntilMillis = Math.max(avoidUntilMillis, untilMillis);
    }

    /** Lets calls in again. */
    public void clearAvoidance() {
        avoidUntilMillis = Long.MIN_VALUE;
    }

    /** Tells whether calls are kept away. */
    public boolean isAvoided(long nowMillis) {
        return nowMillis < avoidUntilMillis;
    }

    /** Returns how long a call that is sent now is expected to take, in milliseconds. */
    public double expectedMillis(long nowMillis) {
        boolean fresh = nowMillis - reportedMillis < REPORT_VALIDITY_MILLIS;
        int sinceReport = Math.max(0, inFlight - inFlightAtReport);
        int load = fresh ? report.busy() + report.waiting() + sinceReport : inFlight;
        int ahead = Math.max(0, load + 1 - report.slots());
        double waitMillis = (double) ahead * report.millisPerCall() / Math.max(1, report.slots());
        return report.millisPerCall() + waitMillis;
    }
}
