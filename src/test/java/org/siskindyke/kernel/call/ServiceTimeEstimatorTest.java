package org.siskindyke.kernel.call;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServiceTimeEstimatorTest {
    /**
     * Guards against short nested calls that were refused forever after a restart: long calls ended first, and short
     * calls with a short deadline were assumed to take as long. All running calls that waited for them failed.
     */
    @Example
    void shortCallsOfAnUnknownKindAreAdmittedBesideLongOnes() {
        ServiceTimeEstimator times = new ServiceTimeEstimator();
        for (int i = 0; i < 100; i++) {
            times.onEnded("booking", 1_200, 0);
        }
        AdmissionQueue queue = new AdmissionQueue(6, times, AdmissionQueueTest.knownPace());
        List<String> events = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            queue.submit(entry("booking", 5_000, false, events), 0);
        }
        queue.submit(entry("lookup", 600, true, events), 0);
        queue.releaseSlot(10);
        assertEquals("lookup", events.get(6));
    }

    @Example
    void anEstimateDecaysWithoutSamples() {
        ServiceTimeEstimator times = new ServiceTimeEstimator();
        times.onEnded("lookup", 2_000, 0);
        assertTrue(times.expectedMillis("lookup", 100) > 1_000);
        assertTrue(times.expectedMillis("lookup", 8_000) < 100);
    }

    private static AdmissionQueue.Entry entry(String kind, long deadlineMillis, boolean nested, List<String> events) {
        SchedulingAttributes attributes = new SchedulingAttributes(kind, 1, deadlineMillis / 2, nested, false, false);
        return new AdmissionQueue.Entry(
                attributes, deadlineMillis, () -> events.add(kind), (cause, retry) -> events.add(kind + " " + cause));
    }
}
