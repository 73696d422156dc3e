package org.siskindyke.measure;

import java.util.Collection;

import org.siskindyke.kernel.control.SliceTraffic;
import org.siskindyke.kernel.id.SliceRef;

/** Slice traffic without any calls, so that each pause completes at once. */
final class IdleTraffic implements SliceTraffic {
    @Override
    public void pause(Collection<SliceRef> slices, Runnable whenIdle) {
        whenIdle.run();
    }

    @Override
    public void resume(Collection<SliceRef> slices) {
        // There are no paused calls.
    }
}
