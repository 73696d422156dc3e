package org.siskindyke.kernel.control;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertTrue;

class ReaderPaceTest {
    private static final long RUN_MILLIS = 20_000;

    /**
     * Guards against needless calls to the platform's store, each of which has a cost: both readers of a failure domain
     * polled at each change.
     */
    @Example
    void theSecondReaderOfAFailureDomainPollsTheTableSeldom() {
        FakeWorld world = new FakeWorld(23, 16, true, FakeWorld.LeaseParts.REAL);
        FakeMember first = world.start("a", "d");
        FakeMember second = world.start("b", "d");
        FakeMember third = world.start("c", "d");
        world.runFor(RUN_MILLIS);
        int firstPolls = first.table().polls();
        int secondPolls = second.table().polls();
        assertTrue(firstPolls > 40, "the first reader polled " + firstPolls + " times");
        assertTrue(secondPolls * 3 < firstPolls, "the second reader polled " + secondPolls + " times");
        assertTrue(
                third.table().polls() < 10,
                "a member that is no reader polled " + third.table().polls() + " times");
    }
}
