package org.siskindyke.kernel.balance;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertTrue;

class ReportedTargetLoadTest {
    private static final TargetLoadReport IDLE = new TargetLoadReport(8, 1, 0, 30, 0);

    /** Guards against a target that never gets a call, since its assumed time exceeds the measured time of others. */
    @Example
    void aTargetWithoutReportsIsTriedBeforeAMeasuredOneButNotByAllCallsAtOnce() {
        ReportedTargetLoad measured = new ReportedTargetLoad();
        measured.onReport(IDLE, 0);
        ReportedTargetLoad unknown = new ReportedTargetLoad();
        assertTrue(unknown.expectedMillis(0) < measured.expectedMillis(0));
        unknown.onSent();
        assertTrue(unknown.expectedMillis(0) > measured.expectedMillis(0));
    }

    /** Guards against a target that gets no call for good after one slow measurement. */
    @Example
    void aTargetThatWasSlowOnceIsTriedAgainAfterSomeTime() {
        ReportedTargetLoad slow = new ReportedTargetLoad();
        slow.onReport(new TargetLoadReport(8, 1, 0, 400, 0), 0);
        ReportedTargetLoad measured = new ReportedTargetLoad();
        measured.onReport(IDLE, 20_000);
        assertTrue(slow.expectedMillis(1_000) > measured.expectedMillis(1_000));
        assertTrue(slow.expectedMillis(20_000) < measured.expectedMillis(20_000));
    }

    /** Guards against calls that all choose a target whose turns are taken for some time. */
    @Example
    void callsThatWaitForTheirTurnUnderALimitCount() {
        ReportedTargetLoad limited = new ReportedTargetLoad();
        limited.onReport(new TargetLoadReport(8, 1, 5, 30, 200), 0);
        assertTrue(limited.expectedMillis(0) >= 1_000);
    }
}
