package org.siskindyke.runtime;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a thread that hangs while no log says so, nor what it is doing. */
class StallWatchTest {
    private static final long INTERVAL_MILLIS = 50;

    private final AtomicLong nowMillis = new AtomicLong(1_000_000);
    private final List<String> events = new ArrayList<>();
    private final StallWatch watch = new StallWatch(
            "loop", nowMillis::get, INTERVAL_MILLIS, (event, fields) -> events.add(event + Arrays.toString(fields)));

    private void checkFor(long millis) {
        for (long passedMillis = 0; passedMillis < millis; passedMillis += INTERVAL_MILLIS) {
            nowMillis.addAndGet(INTERVAL_MILLIS);
            watch.check();
        }
    }

    @Example
    void aThreadThatStaysInATaskIsLoggedWithItsStack() {
        watch.onAlive();
        watch.check();
        checkFor(950);
        assertEquals(List.of(), events);
        checkFor(50);
        assertEquals(1, events.size());
        assertTrue(events.get(0).startsWith("thread-stalled[thread, loop, millis, 1000, stack, "), events::toString);
        assertTrue(events.get(0).contains("aThreadThatStaysInATaskIsLoggedWithItsStack"), events::toString);
        assertEquals(1, watch.stalls());
    }

    @Example
    void aLongStallIsLoggedAgainEachTimeItHasDoubled() {
        watch.onAlive();
        watch.check();
        checkFor(9_000);
        assertEquals(4, events.size());
        assertEquals(1, watch.stalls());
    }

    @Example
    void aThreadThatGoesOnIsNoStall() {
        for (int i = 0; i < 100; i++) {
            watch.onAlive();
            checkFor(950);
        }
        assertEquals(List.of(), events);
        assertEquals(0, watch.stalls());
    }

    /** Guards against lines about a machine that was frozen: then the watching thread has stood still, too. */
    @Example
    void aFrozenProcessIsNoStall() {
        watch.onAlive();
        watch.check();
        for (int i = 0; i < 5; i++) {
            nowMillis.addAndGet(60_000);
            watch.check();
        }
        assertEquals(List.of(), events);
    }

    @Example
    void aThreadThatHasNotBegunIsNotWatched() {
        checkFor(60_000);
        assertEquals(List.of(), events);
    }
}
