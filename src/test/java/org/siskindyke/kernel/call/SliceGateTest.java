package org.siskindyke.kernel.call;

import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SliceGateTest {
    private final SliceGate gate = new SliceGate();
    private final AtomicInteger idle = new AtomicInteger();

    @Example
    void aPausedGateReportsIdleOnceAfterTheLastCall() {
        gate.tryEnter();
        gate.tryEnter();
        gate.pause(idle::incrementAndGet);
        gate.leave();
        assertEquals(0, idle.get());
        gate.leave();
        assertEquals(1, idle.get());
    }

    @Example
    void aPausedGateAdmitsNoCallUntilItResumes() {
        gate.pause(idle::incrementAndGet);
        assertEquals(1, idle.get());
        assertFalse(gate.tryEnter());
        gate.resume();
        assertTrue(gate.tryEnter());
    }

    @Example
    void anUnfinishedCallSetsTheLatestEnd() {
        gate.tryEnter();
        gate.leaveUnfinished(500);
        assertEquals(500, gate.latestUnfinishedEndMillis());
    }

    @Example
    void aBudgetAllowsOneRetryInTenAttempts() {
        RetryBudget budget = new RetryBudget(10);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.onFirstAttempt();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertTrue(retries >= 100 && retries <= 101, "retries " + retries);
    }
}
