package org.siskindyke.kernel.crash;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.kernel.crash.SuspectLane.Entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SuspectLaneTest {
    private final SuspectLane<String> lane = new SuspectLane<>(2);
    private final List<String> admitted = new ArrayList<>();

    @Example
    void oneRequestRunsAndTheNextFollowsInOrder() {
        assertEquals(Entry.RUN, lane.enter("a"));
        assertEquals(Entry.WAIT, lane.enter("b"));
        assertEquals(Entry.WAIT, lane.enter("c"));
        assertEquals(Entry.FULL, lane.enter("d"));
        lane.leave("b", admitted::add);
        assertEquals(List.of(), admitted);
        lane.leave("a", this::enter);
        assertEquals(List.of("b"), admitted);
        assertEquals(List.of("c"), lane.waiting());
    }

    @Example
    void aRemovedRequestNoLongerWaits() {
        lane.enter("a");
        lane.enter("b");
        assertTrue(lane.remove("b"));
        lane.leave("a", admitted::add);
        assertEquals(List.of(), admitted);
    }

    /** Guards against requests that wait at a free lane, since the one before them was refused when its turn came. */
    @Example
    void aWaitingRequestFollowsOneThatDoesNotRun() {
        lane.enter("a");
        lane.enter("b");
        lane.enter("c");
        lane.leave("a", request -> {
            if (!request.equals("b")) {
                enter(request);
            }
        });
        assertEquals(List.of("c"), admitted);
        assertEquals(List.of(), lane.waiting());
    }

    private void enter(String request) {
        assertEquals(Entry.RUN, lane.enter(request));
        admitted.add(request);
    }
}
