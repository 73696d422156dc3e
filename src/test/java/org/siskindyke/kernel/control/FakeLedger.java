package org.siskindyke.kernel.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.siskindyke.kernel.id.SliceRef;

/** Records which member ran calls of which slice when, and fails when two members' calls of a slice overlap. */
final class FakeLedger {
    static final long MAX_CALL_MILLIS = 300;

    private final FakeWorld world;
    private final Map<SliceRef, List<Run>> runs = new HashMap<>();
    private int count;

    FakeLedger(FakeWorld world) {
        this.world = world;
    }

    static final class Run {
        final FakeMember member;
        final long beginMillis;
        long endMillis;

        private Run(FakeMember member, long beginMillis, long endMillis) {
            this.member = member;
            this.beginMillis = beginMillis;
            this.endMillis = endMillis;
        }
    }

    int count() {
        return count;
    }

    /**
     * Runs a call of a random slice at a random member, if that member may serve the slice according to its own view.
     */
    void tryCall() {
        SliceRef slice = new SliceRef(FakeWorld.SERVICE, world.random.nextInt(world.slices));
        FakeMember member = world.members.get(world.random.nextInt(world.members.size()));
        if (member.canServe(slice) && !member.isPaused()) {
            run(member, slice);
        }
    }

    private void run(FakeMember member, SliceRef slice) {
        long now = world.nowMillis();
        long endMillis = now + 1 + world.delayUpTo(MAX_CALL_MILLIS - 1);
        // A backend server that checks grants aborts calls outside its grant, which ends no later than the lease.
        if (world.checksGrants) {
            endMillis = Math.min(endMillis, member.trueLeaseEndMillis());
        }
        Run run = new Run(member, now, endMillis);
        count++;
        List<Run> ofSlice = runs.computeIfAbsent(slice, s -> new ArrayList<>());
        ofSlice.removeIf(r -> r.endMillis <= now - MAX_CALL_MILLIS);
        for (Run other : ofSlice) {
            boolean overlaps = other.member != member && other.endMillis > run.beginMillis;
            if (overlaps) {
                throw new AssertionError(String.format(
                        "slice %s ran at %s until %d ms and at %s from %d ms",
                        slice, other.member, other.endMillis, member, run.beginMillis));
            }
        }
        ofSlice.add(run);
        member.onRun(slice, run.endMillis);
    }
}
