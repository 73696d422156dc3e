package org.siskindyke.kernel.control;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertTrue;

class FirstAssignmentTest {
    private static final int MEMBERS = 45;
    private static final int SLICES = 128;
    private static final long LIMIT_MILLIS = 20_000;

    /**
     * Guards against slices that stay without an owner: their service has more members than fit in one transaction of
     * the platform's store.
     */
    @Example
    void slicesAreAssignedToMoreMembersThanFitInOneTransaction() {
        FakeWorld world = new FakeWorld(17, SLICES, true, FakeWorld.LeaseParts.REAL, false);
        for (int i = 0; i < MEMBERS; i++) {
            world.start("i" + i, "d" + i % 4);
        }
        long tookMillis = world.runUntilServed(LIMIT_MILLIS);
        assertTrue(tookMillis >= 0, () -> "slices are not served after " + LIMIT_MILLIS + " ms");
    }
}
