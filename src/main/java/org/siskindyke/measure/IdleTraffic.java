package org.siskindyke.measure;

import java.util.Collection;

import org.siskindyke.kernel.control.SliceTraffic;
import org.siskindyke.kernel.id.SliceRef;

/** Stands for traffic that has no calls in progress. */
final class IdleTraffic implements SliceTraffic {
    @Override
    public void pause(Collection<SliceRef> slices, Runnable whenIdle) {
        whenIdle.run();
    }

    @Override
    public void resume(Collection<SliceRef> slices) {
        // No call waits.
    }
}
