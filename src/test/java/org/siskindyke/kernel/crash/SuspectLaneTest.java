package org.siskindyke.kernel.crash;

import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.siskindyke.kernel.crash.SuspectLane.Entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SuspectLaneTest {
    private final SuspectLane<String> lane = new SuspectLane<>(2);

    @Example
    void oneRequestRunsAndTheNextFollowsInOrder() {
        assertEquals(Entry.RUN, lane.enter("a"));
        assertEquals(Entry.WAIT, lane.enter("b"));
        assertEquals(Entry.WAIT, lane.enter("c"));
        assertEquals(Entry.FULL, lane.enter("d"));
        assertEquals(Optional.empty(), lane.leave("b"));
        assertEquals(Optional.of("b"), lane.leave("a"));
        assertEquals(Entry.RUN, lane.enter("b"));
        assertEquals(List.of("c"), lane.waiting());
    }

    @Example
    void aRemovedRequestNoLongerWaits() {
        lane.enter("a");
        lane.enter("b");
        assertTrue(lane.remove("b"));
        assertEquals(Optional.empty(), lane.leave("a"));
    }
}
