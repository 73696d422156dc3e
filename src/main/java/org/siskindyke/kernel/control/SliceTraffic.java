package org.siskindyke.kernel.control;

import java.util.Collection;

import org.siskindyke.kernel.id.SliceRef;

/** Lets the control state machine stop and resume the calls of slices that this router owns. */
public interface SliceTraffic {
    /**
     * Holds new calls of slices back and waits for those in progress.
     *
     * @param slices the slices
     * @param whenIdle runs on the control thread once no call of the slices is in progress
     */
    void pause(Collection<SliceRef> slices, Runnable whenIdle);

    /** Lets the held calls go on, to whoever owns their slices now. */
    void resume(Collection<SliceRef> slices);

    /** Returns what the backend server left when it released a held slice, or null. */
    default String handoverState(SliceRef slice) {
        return null;
    }
}
