package org.siskindyke.kernel.call;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SlotQueueTest {
    private final List<String> events = new ArrayList<>();

    private SlotQueue.Waiter call(String name, long waitUntilMillis) {
        return new SlotQueue.Waiter() {
            @Override
            public long waitUntilMillis() {
                return waitUntilMillis;
            }

            @Override
            public void onAdmitted() {
                events.add(name + " admitted");
            }

            @Override
            public void onRefused(Refusal refusal) {
                events.add(name + " " + refusal);
            }
        };
    }

    @Example
    void aFreedSlotGoesToTheCallThatWaitedLongest() {
        SlotQueue queue = new SlotQueue(1, 2);
        queue.submit(call("a", 100), 0);
        queue.submit(call("b", 100), 0);
        queue.submit(call("c", 100), 0);
        queue.releaseSlot(10);
        assertEquals(List.of("a admitted", "b admitted"), events);
    }

    @Example
    void aCallBeyondTheQueueIsRefusedAtOnce() {
        SlotQueue queue = new SlotQueue(1, 1);
        queue.submit(call("a", 100), 0);
        queue.submit(call("b", 100), 0);
        queue.submit(call("c", 100), 0);
        assertEquals(List.of("a admitted", "c QUEUE_FULL"), events);
    }

    @Example
    void aCallThatWaitedTooLongIsRefusedAndNeverAdmitted() {
        SlotQueue queue = new SlotQueue(1, 1);
        queue.submit(call("a", 100), 0);
        queue.submit(call("b", 100), 0);
        queue.releaseSlot(100);
        assertEquals(List.of("a admitted", "b QUEUE_TIMEOUT"), events);
        assertEquals(0, queue.used());
    }

    @Example
    void moreSlotsAdmitWaitingCalls() {
        SlotQueue queue = new SlotQueue(1, 1);
        queue.submit(call("a", 100), 0);
        queue.submit(call("b", 100), 0);
        queue.resize(2, 1, 10);
        assertEquals(List.of("a admitted", "b admitted"), events);
    }

    @Property(tries = 300, seed = "31")
    void slotsAreNeverExceededAndEveryCallGetsOneOutcome(
            @ForAll @Size(max = 200) List<@IntRange(max = 3) Integer> steps,
            @ForAll @IntRange(min = 1, max = 5) int slots) {
        SlotQueue queue = new SlotQueue(slots, 3);
        int entered = 0;
        long now = 0;
        for (int step : steps) {
            now += step;
            if (step < 2 || queue.used() == 0) {
                queue.submit(call("c" + entered++, now + 5), now);
            } else {
                queue.releaseSlot(now);
            }
            assertTrue(queue.used() <= slots);
        }
        queue.expire(now + 10);
        assertEquals(entered, events.size());
        assertEquals(
                entered, events.stream().map(e -> e.split(" ")[0]).distinct().count());
        events.clear(); // jqwik runs all tries on one instance of this class
    }
}
