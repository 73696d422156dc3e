package org.siskindyke.kernel.call;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdmissionQueueTest {
    private final List<String> events = new ArrayList<>();
    private final ServiceTimeEstimator times = new ServiceTimeEstimator();
    private final AdmissionQueue queue = new AdmissionQueue(1, times, knownPace());

    AdmissionQueueTest() {
        times.onEnded("k", 100, 0);
    }

    /** Returns the pace of a target that has answered without naming a limit. */
    static ArrivalPace knownPace() {
        ArrivalPace pace = new ArrivalPace();
        pace.onNoLimit();
        return pace;
    }

    private AdmissionQueue.Entry entry(
            String name, int priority, long objectiveMillis, long deadlineMillis, boolean nested, boolean movable) {
        SchedulingAttributes attributes =
                new SchedulingAttributes("k", priority, objectiveMillis, nested, movable, false);
        return new AdmissionQueue.Entry(
                attributes,
                deadlineMillis,
                () -> events.add(name),
                (cause, retryAfterMillis) -> events.add(name + " " + cause));
    }

    @Example
    void nestedCallsGoFirstThenHigherPriorityThenTheEarliestObjective() {
        queue.submit(entry("first", 2, 500, 9_000, false, false), 0);
        queue.submit(entry("late", 2, 900, 9_000, false, false), 0);
        queue.submit(entry("soon", 2, 800, 9_000, false, false), 0);
        queue.submit(entry("order", 1, 999, 9_000, false, false), 0);
        queue.submit(entry("nested", 5, 999, 9_000, true, false), 0);
        for (int i = 0; i < 4; i++) {
            queue.releaseSlot(10);
        }
        assertEquals(List.of("first", "nested", "order", "soon", "late"), events);
    }

    @Example
    void callsThatHaveMissedTheirObjectiveWaitBehindThoseThatCanMeetIt() {
        queue.submit(entry("first", 2, 500, 9_000, false, false), 0);
        queue.submit(entry("missed", 2, 150, 9_000, false, false), 0);
        queue.submit(entry("meets", 2, 900, 9_000, false, false), 0);
        queue.releaseSlot(200);
        assertEquals(List.of("first", "meets"), events);
    }

    @Example
    void aCallThatCannotEndBeforeItsDeadlineIsRefusedAtOnce() {
        queue.submit(entry("running", 1, 500, 9_000, false, false), 0);
        queue.submit(entry("late", 1, 100, 120, false, false), 0);
        assertEquals(List.of("running", "late QUEUE_FULL"), events);
    }

    @Example
    void aMovableCallIsRefusedIfItWouldMissItsObjective() {
        queue.submit(entry("running", 1, 500, 9_000, false, false), 0);
        queue.submit(entry("movable", 1, 150, 9_000, false, true), 0);
        queue.submit(entry("staying", 1, 150, 9_000, false, false), 0);
        assertEquals(List.of("running", "movable QUEUE_FULL"), events);
        assertEquals(1, queue.waiting());
    }

    @Example
    void callsOvertakenByMoreUrgentOnesAreRefusedBeforeTheirDeadline() {
        queue.submit(entry("running", 1, 500, 9_000, false, false), 0);
        queue.submit(entry("patient", 2, 400, 320, false, false), 0);
        for (int i = 0; i < 4; i++) {
            queue.submit(entry("urgent" + i, 0, 500, 9_000, false, false), 0);
        }
        queue.refusePredictedTimeouts(10);
        assertTrue(events.contains("patient QUEUE_TIMEOUT"));
        assertEquals(4, queue.waiting());
    }

    /** A target with six slots is offered twice its capacity; it must stay busy and ask for short retry delays. */
    @Example
    void underTwiceItsCapacityATargetServesItsCapacityAndAsksForShortRetryDelays() {
        AdmissionQueue overloaded = new AdmissionQueue(6, times, knownPace());
        int[] served = new int[1];
        long[] maxRetryAfterMillis = new long[1];
        List<Long> ends = new ArrayList<>();
        long nowMillis = 0;
        for (; nowMillis < 10_000; nowMillis++) {
            long currentMillis = nowMillis;
            while (ends.remove(currentMillis)) {
                times.onEnded("k", 100, currentMillis);
                overloaded.releaseSlot(currentMillis);
            }
            if (nowMillis % 50 == 0) {
                overloaded.refusePredictedTimeouts(nowMillis);
            }
            if (nowMillis % 25 == 0) {
                for (int i = 0; i < 3; i++) {
                    SchedulingAttributes attributes =
                            new SchedulingAttributes("k", 1, currentMillis + 300, false, false, false);
                    overloaded.submit(
                            new AdmissionQueue.Entry(
                                    attributes,
                                    currentMillis + 600,
                                    () -> {
                                        served[0]++;
                                        ends.add(currentMillis + 100);
                                    },
                                    (cause, retry) -> maxRetryAfterMillis[0] = Math.max(maxRetryAfterMillis[0], retry)),
                            nowMillis);
                }
            }
        }
        assertTrue(served[0] >= 570, "served " + served[0] + " of 600");
        assertTrue(maxRetryAfterMillis[0] <= 700, "retry after " + maxRetryAfterMillis[0]);
    }

    /** Guards against calls that wait until their deadline, since newer ones overtake them under a target's limit. */
    @Example
    void aCallThatFindsNoPlaceWithinItsObjectiveUnderALimitIsRefusedAtOnce() {
        ArrivalPace pace = knownPace();
        pace.onLimit(2, 0);
        AdmissionQueue limited = new AdmissionQueue(4, times, pace);
        limited.submit(entry("first", 1, 1_000, 2_500, false, false), 0);
        limited.submit(entry("second", 1, 1_000, 2_500, false, false), 0);
        limited.submit(entry("third", 1, 1_000, 2_500, false, false), 0);
        assertEquals(List.of("first", "third QUEUE_FULL"), events);
        limited.admit(500);
        assertEquals(List.of("first", "third QUEUE_FULL", "second"), events);
    }

    /** Guards against a call that waits for a turn which comes after its deadline. */
    @Example
    void aCallWhoseTurnComesAfterItsDeadlineIsRefusedAtOnce() {
        ArrivalPace pace = knownPace();
        pace.onLimit(1, 0);
        AdmissionQueue limited = new AdmissionQueue(4, times, pace);
        limited.submit(entry("first", 1, 2_000, 2_500, false, false), 0);
        limited.submit(entry("nested", 1, 2_000, 900, true, false), 0);
        assertEquals(List.of("first", "nested QUEUE_FULL"), events);
    }

    /** Guards against less urgent calls that take the places under a limit from more urgent ones. */
    @Example
    void moreUrgentCallsGetTheFirstPlacesUnderALimit() {
        ArrivalPace pace = knownPace();
        pace.onLimit(10, 0);
        AdmissionQueue limited = new AdmissionQueue(4, times, pace);
        limited.submit(entry("first", 2, 5_000, 9_000, false, false), 0);
        limited.submit(entry("less urgent", 2, 5_000, 9_000, false, false), 0);
        limited.submit(entry("urgent", 1, 5_000, 9_000, false, false), 0);
        limited.admit(100);
        assertEquals(List.of("first", "urgent"), events);
    }

    /** With a call stack that grew with the number of waiting calls, some hundreds of them ended the traffic thread. */
    @Example
    void callsThatGiveTheirSlotsBackAtOnceAreAdmittedOneAfterTheOther() {
        List<Integer> depths = new ArrayList<>();
        int[] depth = {0};
        queue.submit(entry("running", 1, 500, 9_000, false, false), 0);
        for (int i = 0; i < 10; i++) {
            queue.submit(
                    new AdmissionQueue.Entry(
                            new SchedulingAttributes("k", 1, 9_000, false, false, false),
                            9_000,
                            () -> {
                                depth[0]++;
                                depths.add(depth[0]);
                                queue.releaseSlot(10);
                                depth[0]--;
                            },
                            (cause, retryAfterMillis) -> events.add(cause.name())),
                    0);
        }
        queue.releaseSlot(10);
        assertEquals(Collections.nCopies(10, 1), depths);
        assertEquals(0, queue.used());
        assertEquals(List.of("running"), events);
    }
}
