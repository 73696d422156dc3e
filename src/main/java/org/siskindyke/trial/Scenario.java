package org.siskindyke.trial;

/** Causes faults while a load runs. Implementations carry {@link ScenarioInfo} and are found by service loading. */
public interface Scenario extends TrialOptions {
    /** Returns the declaration. */
    default ScenarioInfo info() {
        return getClass().getAnnotation(ScenarioInfo.class);
    }

    /**
     * Causes the faults. Called once the load has run for a second; returns when the last fault is over.
     *
     * @param trial the processes
     */
    void run(Trial trial);
}
