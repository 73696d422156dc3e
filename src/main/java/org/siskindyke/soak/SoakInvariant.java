package org.siskindyke.soak;

import java.util.List;

/** Something that must hold in each soak, judged by what the processes saw. */
interface SoakInvariant {
    /** Returns the promise in a few words. */
    String name();

    /**
     * Finds where it was broken.
     *
     * @param events all events, by time
     * @param plan the faults
     * @return a line for each case
     */
    List<String> violations(List<SoakEvent> events, SoakPlan plan);
}
