package org.siskindyke.kernel.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdmissionQueueTest {
    private final List<String> events = new ArrayList<>();
    private final ServiceTimes times = new ServiceTimes();
    private final AdmissionQueue queue = new AdmissionQueue(1, times);

    AdmissionQueueTest() {
        times.onEnded("k", 100, 0);
    }

    private AdmissionQueue.Entry entry(
            String name, int priority, long objectiveMillis, long deadlineMillis, boolean nested, boolean movable) {
        CallUrgency urgency = new CallUrgency("k", priority, objectiveMillis, nested, movable);
        return new AdmissionQueue.Entry(
                urgency,
                deadlineMillis,
                () -> events.add(name),
                (cause, retryAfterMillis) -> events.add(name + " " + cause));
    }

    @Example
    void nestedCallsGoFirstThenPriorityThenTheNearestObjective() {
        queue.enter(entry("first", 2, 500, 9_000, false, false), 0);
        queue.enter(entry("late", 2, 900, 9_000, false, false), 0);
        queue.enter(entry("soon", 2, 800, 9_000, false, false), 0);
        queue.enter(entry("order", 1, 999, 9_000, false, false), 0);
        queue.enter(entry("nested", 5, 999, 9_000, true, false), 0);
        for (int i = 0; i < 4; i++) {
            queue.leave(10);
        }
        assertEquals(List.of("first", "nested", "order", "soon", "late"), events);
    }

    @Example
    void callsThatHaveMissedTheirObjectiveWaitBehindThoseThatCanMeetIt() {
        queue.enter(entry("first", 2, 500, 9_000, false, false), 0);
        queue.enter(entry("missed", 2, 150, 9_000, false, false), 0);
        queue.enter(entry("meets", 2, 900, 9_000, false, false), 0);
        queue.leave(200);
        assertEquals(List.of("first", "meets"), events);
    }

    @Example
    void aCallThatCannotEndBeforeItsDeadlineIsRefusedAtOnce() {
        queue.enter(entry("running", 1, 500, 9_000, false, false), 0);
        queue.enter(entry("hopeless", 1, 100, 120, false, false), 0);
        assertEquals(List.of("running", "hopeless QUEUE_FULL"), events);
    }

    @Example
    void aCallThatMayGoElsewhereIsRefusedWhereItWouldMissItsObjective() {
        queue.enter(entry("running", 1, 500, 9_000, false, false), 0);
        queue.enter(entry("movable", 1, 150, 9_000, false, true), 0);
        queue.enter(entry("staying", 1, 150, 9_000, false, false), 0);
        assertEquals(List.of("running", "movable QUEUE_FULL"), events);
        assertEquals(1, queue.waiting());
    }

    @Example
    void callsThatMoreUrgentOnesHavePushedBackAreRefusedBeforeTheirDeadline() {
        queue.enter(entry("running", 1, 500, 9_000, false, false), 0);
        queue.enter(entry("patient", 2, 400, 320, false, false), 0);
        for (int i = 0; i < 4; i++) {
            queue.enter(entry("urgent" + i, 0, 500, 9_000, false, false), 0);
        }
        queue.refuseHopeless(10);
        assertTrue(events.contains("patient QUEUE_TIMEOUT"));
        assertEquals(4, queue.waiting());
    }

    /** Pattern: a target of six slots is offered twice what it can do; it must stay busy and answer who waits. */
    @Example
    void underTwiceItsLoadATargetServesItsCapacityAndNobodyIsHeldToTheDeadline() {
        AdmissionQueue loaded = new AdmissionQueue(6, times);
        int[] served = new int[1];
        long[] latestRefusal = new long[1];
        List<Long> ends = new ArrayList<>();
        long nowMillis = 0;
        for (; nowMillis < 10_000; nowMillis++) {
            long present = nowMillis;
            while (ends.remove(present)) {
                times.onEnded("k", 100, present);
                loaded.leave(present);
            }
            if (nowMillis % 50 == 0) {
                loaded.refuseHopeless(nowMillis);
            }
            if (nowMillis % 25 == 0) {
                for (int i = 0; i < 3; i++) {
                    CallUrgency urgency = new CallUrgency("k", 1, present + 300, false, false);
                    loaded.enter(
                            new AdmissionQueue.Entry(
                                    urgency,
                                    present + 600,
                                    () -> {
                                        served[0]++;
                                        ends.add(present + 100);
                                    },
                                    (cause, retry) -> latestRefusal[0] = Math.max(latestRefusal[0], retry)),
                            nowMillis);
                }
            }
        }
        assertTrue(served[0] >= 570, "served " + served[0] + " of 600");
        assertTrue(latestRefusal[0] <= 700, "retry after " + latestRefusal[0]);
    }

    /**
     * Pattern: a target whose calls differ in length is offered more than it can do; calls started so late that only
     * those shorter than the average met their objective, and most slots went to late answers.
     */
    @Example
    void underMoreThanItsLoadMostAnswersMeetTheirObjective() {
        VaryingLoad load = new VaryingLoad();
        for (long nowMillis = 0; nowMillis < 20_000; nowMillis++) {
            load.tick(nowMillis);
        }
        assertTrue(load.inTime > 6 * load.late, load.inTime + " in time, " + load.late + " late");
    }

    /** Six slots, calls of 100 ms on average that differ as the users' sites say, half more than the slots can do. */
    private static final class VaryingLoad {
        private static final long OBJECTIVE_MILLIS = 400;
        private static final long DEADLINE_MILLIS = 2_500;
        private static final long INTERVAL_MILLIS = 11;
        private static final double SPREAD = 0.8;

        private final Random random = new Random(5);
        private final ServiceTimes learned = new ServiceTimes();
        private final AdmissionQueue loaded = new AdmissionQueue(6, learned);
        private final Map<Long, List<Runnable>> ends = new HashMap<>();
        private long presentMillis;
        private int inTime;
        private int late;

        private void tick(long nowMillis) {
            presentMillis = nowMillis;
            List<Runnable> due = ends.remove(nowMillis);
            if (due != null) {
                due.forEach(Runnable::run);
            }
            loaded.refuseHopeless(nowMillis);
            if (nowMillis % INTERVAL_MILLIS == 0) {
                arrive(nowMillis + OBJECTIVE_MILLIS);
            }
        }

        private void arrive(long objectiveMillis) {
            CallUrgency urgency = new CallUrgency("k", 1, objectiveMillis, false, false);
            loaded.enter(
                    new AdmissionQueue.Entry(
                            urgency,
                            objectiveMillis - OBJECTIVE_MILLIS + DEADLINE_MILLIS,
                            () -> start(objectiveMillis),
                            (cause, retry) -> {}),
                    presentMillis);
        }

        private void start(long objectiveMillis) {
            long tookMillis = 1 + (long) (100 * Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2));
            ends.computeIfAbsent(presentMillis + tookMillis, e -> new ArrayList<>())
                    .add(() -> end(tookMillis, objectiveMillis));
        }

        private void end(long tookMillis, long objectiveMillis) {
            learned.onEnded("k", tookMillis, presentMillis);
            inTime += presentMillis <= objectiveMillis ? 1 : 0;
            late += presentMillis > objectiveMillis ? 1 : 0;
            loaded.leave(presentMillis);
        }
    }
}
