package org.siskindyke.trial;

/** Injects faults while a load runs. Implementations carry {@link ScenarioInfo} and are found by service loading. */
public interface Scenario extends TrialOptions {
    /** Returns the scenario's annotation. */
    default ScenarioInfo info() {
        return getClass().getAnnotation(ScenarioInfo.class);
    }

    /**
     * Injects the faults. Called one second after the start of the load; returns when the last fault has ended.
     *
     * @param trial the processes and the load
     */
    void run(Trial trial);
}
