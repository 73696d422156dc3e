package org.siskindyke.runtime;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SuspensionDetectorTest {
    private long monotonicMillis = 1_000;
    private long wallMillis = 9_000_000;
    private final SuspensionDetector detector = new SuspensionDetector(() -> monotonicMillis, () -> wallMillis);

    private void pass(long monotonic, long wall) {
        monotonicMillis += monotonic;
        wallMillis += wall;
    }

    @Example
    void timeThatBothClocksCountIsNoSuspension() {
        pass(5_000, 5_010);
        assertFalse(detector.wasSuspended());
    }

    /** Pattern: a machine sleeps for four seconds while its lease lapses; the monotonic clock does not count them. */
    @Example
    void timeThatOnlyTheTimeOfDayCountsIsASuspensionAndIsReportedOnce() {
        pass(50, 4_050);
        assertTrue(detector.wasSuspended());
        pass(50, 50);
        assertFalse(detector.wasSuspended());
    }

    @Example
    void aTimeOfDaySetBackIsNoSuspension() {
        pass(50, -2_000);
        assertFalse(detector.wasSuspended());
        pass(50, 2_050);
        assertTrue(detector.wasSuspended());
    }
}
