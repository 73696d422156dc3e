package org.siskindyke.kernel.balance;

/** Load of a target by its latest report and this router's own calls in flight. Confined to one thread. */
public final class ReportedTargetLoad {
    /** Assumed of calls in flight until the first report: 6 slots and 100 ms per call, as of a small server. */
    private static final TargetLoadReport DEFAULT_REPORT = new TargetLoadReport(6, 0, 0, 100, 0);
    /** Age from which a report's busy slots and waiting calls are ignored; its slots stay in use. */
    private static final long REPORT_VALIDITY_MILLIS = 2_000;
    /** Half-life of a reported call duration from then on, so that a target which was slow once is tried again. */
    private static final double DURATION_HALF_LIFE_MILLIS = 2_000;
    /** How long the target is avoided after one lost answer; the time doubles with each further one. */
    private static final long FIRST_LOSS_AVOID_MILLIS = 50;
    /** Lost answers from which on the time no longer doubles; it is 6.4 s then. */
    private static final int MAX_LOSSES_IN_A_ROW = 8;

    private TargetLoadReport report = DEFAULT_REPORT;
    private boolean reported;
    private long reportedMillis;
    private int lostInARow;
    private int inFlight;
    private int inFlightAtReport;
    private long avoidUntilMillis = Long.MIN_VALUE;

    /** Records that a call was sent. */
    public void onSent() {
        inFlight++;
    }

    /** Records that a call has ended. */
    public void onEnded() {
        inFlight--;
    }

    /** Records a report of the target's router. */
    public void onReport(TargetLoadReport newReport, long nowMillis) {
        report = newReport;
        reported = true;
        reportedMillis = nowMillis;
        inFlightAtReport = inFlight;
    }

    /** Marks the target as avoided until a time, after it refused a call or was unreachable; never shortens it. */
    public void avoidUntil(long untilMillis) {
        avoidUntilMillis = Math.max(avoidUntilMillis, untilMillis);
    }

    /** Marks the target as avoided after a lost answer: longer with each further one until it answers again. */
    public void onAnswerLost(long nowMillis) {
        lostInARow = Math.min(lostInARow + 1, MAX_LOSSES_IN_A_ROW);
        avoidUntil(nowMillis + (FIRST_LOSS_AVOID_MILLIS << lostInARow - 1));
    }

    /** Ends the avoidance of the target, which has answered. */
    public void clearAvoidance() {
        lostInARow = 0;
        avoidUntilMillis = Long.MIN_VALUE;
    }

    /** Returns whether calls should go to other targets. */
    public boolean isAvoided(long nowMillis) {
        return nowMillis < avoidUntilMillis;
    }

    /** Returns the latest report, or an assumed one of an idle target before the first. */
    public TargetLoadReport report() {
        return report;
    }

    /** Returns whether there has been a report. */
    public boolean isReported() {
        return reported;
    }

    /** Returns the age of the latest report, in milliseconds; 0 before the first. */
    public long ageMillis(long nowMillis) {
        return reported ? Math.max(0, nowMillis - reportedMillis) : 0;
    }

    /** Returns this router's own calls in flight. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns by how much the own calls in flight have grown since the latest report; all of them before the first. */
    public int sentSinceReport() {
        return Math.max(0, inFlight - inFlightAtReport);
    }

    /**
     * Returns the expected time of a call that is sent now, in milliseconds, including its wait for a slot and for its
     * turn under the limit on calls.
     */
    public double expectedMillis(long nowMillis) {
        if (!reported) {
            return (double) inFlight * report.millisPerCall();
        }
        long ageMillis = nowMillis - reportedMillis;
        boolean fresh = ageMillis < REPORT_VALIDITY_MILLIS;
        double callMillis = fresh ? report.millisPerCall() : decayedCallMillis(ageMillis - REPORT_VALIDITY_MILLIS);
        int sinceReport = sentSinceReport();
        int load = fresh ? report.busy() + report.waiting() + sinceReport : inFlight;
        int ahead = Math.max(0, load + 1 - report.slots());
        double slotMillis = ahead * callMillis / Math.max(1, report.slots());
        int queued = (fresh ? report.waiting() : 0) + sinceReport;
        double turnMillis = (double) queued * report.intervalMillis();
        return callMillis + Math.max(slotMillis, turnMillis);
    }

    private double decayedCallMillis(long outdatedMillis) {
        return report.millisPerCall() * Math.pow(0.5, outdatedMillis / DURATION_HALF_LIFE_MILLIS);
    }
}
