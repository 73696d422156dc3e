package org.siskindyke.runtime;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SuspensionDetectorTest {
    private long monotonicMillis = 1_000;
    private long wallMillis = 9_000_000;
    private final SuspensionDetector detector = new SuspensionDetector(() -> monotonicMillis, () -> wallMillis);

    private void advance(long monotonic, long wall) {
        monotonicMillis += monotonic;
        wallMillis += wall;
    }

    @Example
    void timeThatBothClocksCountIsNoSuspension() {
        advance(5_000, 5_010);
        assertFalse(detector.wasSuspended());
    }

    /**
     * Guards against a router that serves after its lease expired: the machine is suspended for four seconds, which the
     * monotonic clock does not count.
     */
    @Example
    void timeThatOnlyTheWallClockCountsIsASuspensionAndIsReportedOnce() {
        advance(50, 4_050);
        assertTrue(detector.wasSuspended());
        advance(50, 50);
        assertFalse(detector.wasSuspended());
    }

    @Example
    void aWallClockSetBackIsNoSuspensionButSetForwardIsOne() {
        advance(50, -2_000);
        assertFalse(detector.wasSuspended());
        advance(50, 2_050);
        assertTrue(detector.wasSuspended());
    }
}
