package org.siskindyke.runtime.traffic;

import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;

class LoopDelayTest {
    private final AtomicLong clockMillis = new AtomicLong(1_000);
    private final LoopDelay delay = new LoopDelay(clockMillis::get, 50);

    private void checkAfter(long millis) {
        clockMillis.addAndGet(millis);
        delay.onCheck();
    }

    @Example
    void aCheckInTimeIsNoDelay() {
        checkAfter(50);
        assertEquals(0, delay.nowMillis());
    }

    @Example
    void anOverdueCheckIsADelayBeforeItRuns() {
        checkAfter(50);
        clockMillis.addAndGet(350);
        assertEquals(300, delay.nowMillis());
    }

    /** What is read right after a late check has waited while the loop was busy. */
    @Example
    void aLateCheckIsADelayUntilTheNextOne() {
        checkAfter(350);
        assertEquals(300, delay.nowMillis());
        checkAfter(50);
        assertEquals(0, delay.nowMillis());
    }

    @Example
    void theLongestDelayIsTakenOnce() {
        checkAfter(250);
        checkAfter(150);
        assertEquals(200, delay.takeMaxMillis());
        assertEquals(0, delay.takeMaxMillis());
    }
}
