package org.siskindyke.kernel.control;

import java.util.Collection;

import org.siskindyke.kernel.id.SliceRef;

/** Pauses and resumes the calls of slices that this router owns. All methods are called on the control thread. */
public interface SliceTraffic {
    /**
     * Stops new calls of slices until {@link #resume}, immediately or once the backend server's grant of them has been
     * withdrawn or has ended, and reports when those in progress have ended. Stopped calls are rejected or
     * wait for a limited time, depending on the implementation.
     *
     * @param slices the slices
     * @param whenIdle runs on the control thread once no call of the slices is in progress
     */
    void pause(Collection<SliceRef> slices, Runnable whenIdle);

    /** Lets paused calls continue at the present owner of their slices. */
    void resume(Collection<SliceRef> slices);

    /** Returns the state that the backend server left for the next owner when it released a slice; null for none. */
    default String handoverState(SliceRef slice) {
        return null;
    }
}
