package org.siskindyke.soak;

import java.util.List;

/** A rule that must hold in each soak, checked against the events of all processes. */
interface SoakInvariant {
    /** Returns the name under which violations are reported. */
    String name();

    /**
     * Finds the violations of the rule.
     *
     * @param events all events, sorted by time
     * @param plan the faults of the soak
     * @return a description of each violation; empty if there is none
     */
    List<String> violations(List<SoakEvent> events, SoakPlan plan);
}
