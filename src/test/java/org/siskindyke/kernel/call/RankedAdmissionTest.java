package org.siskindyke.kernel.call;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RankedAdmissionTest {
    private final List<String> events = new ArrayList<>();
    private final ServiceTimeEstimator times = new ServiceTimeEstimator();
    private final ArrivalPace pace = AdmissionQueueTest.knownPace();
    private final AdmissionQueue queue = new AdmissionQueue(1, times, pace, new RankedAdmission(times, pace));

    RankedAdmissionTest() {
        times.onEnded("k", 100, 0);
    }

    private AdmissionQueue.Entry entry(
            String name, int rank, long objectiveMillis, long deadlineMillis, boolean nested, boolean returning) {
        return new AdmissionQueue.Entry(
                new SchedulingAttributes("k", rank, objectiveMillis, nested, false, false, returning),
                deadlineMillis,
                () -> events.add(name),
                (cause, retryAfterMillis) -> events.add(name + " " + cause));
    }

    /** Guards against a caller that is refused again since new callers took its place. */
    @Example
    void withinARankACallThatReturnsGoesBeforeNewOnesAndNestedCallsGoFirst() {
        queue.submit(entry("first", 1, 500, 9_000, false, false), 0);
        queue.submit(entry("new", 1, 800, 9_000, false, false), 0);
        queue.submit(entry("returning", 1, 900, 9_000, false, true), 0);
        queue.submit(entry("nested", 1, 950, 9_000, true, false), 0);
        queue.submit(entry("urgent", 0, 990, 9_000, false, false), 0);
        for (int i = 0; i < 4; i++) {
            queue.releaseSlot(10);
        }
        assertEquals(List.of("first", "nested", "urgent", "returning", "new"), events);
    }

    /** Guards against late calls that take slots from calls of any rank that can still be in time. */
    @Example
    void aLateCallOfAHigherRankGoesAfterCallsThatCanBeInTime() {
        queue.submit(entry("first", 1, 500, 9_000, false, false), 0);
        queue.submit(entry("late", 0, 250, 9_000, false, false), 0);
        queue.submit(entry("in time", 2, 900, 9_000, false, false), 0);
        queue.releaseSlot(200);
        queue.releaseSlot(300);
        assertEquals(List.of("first", "in time", "late"), events);
    }

    /** Guards against calls that are held until they are late and then refused. */
    @Example
    void onceTheLoadIsKnownToExceedTheCapacityACallThatWouldBeLateIsRefusedAtOnce() {
        for (int i = 0; i < 20; i++) {
            queue.submit(entry("earlier" + i, 1, 400, 5_000, false, false), 0);
        }
        events.clear();
        for (int i = 0; i < 5; i++) {
            queue.submit(entry("k" + i, 1, 400, 5_000, false, false), 0);
        }
        assertEquals(5, events.size());
        assertTrue(events.stream().allMatch(event -> event.endsWith("QUEUE_FULL")), events.toString());
    }

    /** Guards against a call that keeps waiting while higher ranks take all slots. */
    @Example
    void aCallThatHigherRanksOvertakeIsRefusedOnceItHasWaitedAnEighthOfItsObjective() {
        queue.submit(entry("running", 0, 500, 9_000, false, false), 0);
        queue.submit(entry("overtaken", 2, 800, 9_000, false, false), 0);
        for (int i = 0; i < 20; i++) {
            queue.submit(entry("urgent" + i, 0, 3_000, 9_000, false, false), 10);
        }
        queue.refusePredictedTimeouts(90);
        assertTrue(!events.contains("overtaken QUEUE_TIMEOUT"));
        queue.refusePredictedTimeouts(110);
        assertTrue(events.contains("overtaken QUEUE_TIMEOUT"));
    }

    /** Guards against running calls that fail one after the other, since the service they call has no capacity. */
    @Example
    void aKindWhoseNestedCallsFailGivesWayToWaitingCalls() {
        queue.submit(entry("running", 1, 500, 9_000, false, false), 0);
        queue.submit(entry("waiting", 1, 900, 9_000, false, false), 0);
        queue.onNestedEnded("k", true, 0);
        queue.submit(entry("parent", 1, 2_000, 9_000, false, false), 0);
        assertEquals(List.of("running", "parent QUEUE_FULL"), events);
    }
}
