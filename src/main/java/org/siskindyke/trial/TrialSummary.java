package org.siskindyke.trial;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * What a trial found.
 *
 * @param scenario the scenario
 * @param mode what was measured
 * @param seed of its choices
 * @param unavailableMillisMax longest time that any probed key was not served
 * @param unavailableMillisSum such times added up over the probed keys
 * @param probedKeys number of probed keys
 * @param churnKeys keys that ran at more than one backend server
 * @param churnSlices changes of owner of slices
 * @param imbalance most calls of a backend server divided by the mean
 * @param doubleOwnerMillis time that a key ran at two backend servers at once, added up
 * @param atMostOnceViolations orders that took effect more than once
 * @param falseNotRun calls answered as not run that a ledger lists
 * @param wrongAnswers answers that were cut or belong to another call
 * @param calls calls sent, probes included
 * @param served calls that a backend server answered
 * @param p50Millis median time to an answer
 * @param p99Millis 99th percentile of it
 * @param tableReadsPerSecondMax the most reads of the table in any second
 * @param tableWritesPerSecondMax the most transactions in any second
 * @param attemptsPerCall executions listed in ledgers per call sent
 * @param crashedBackends backend servers that were down at the end
 * @param servedPerSecond calls of the load that were answered each second
 * @param workAfterDrainMillis how long after a withdrawal a backend server still got work; -1 where none withdrew
 */
public record TrialSummary(
        String scenario,
        TrialMode mode,
        long seed,
        long unavailableMillisMax,
        long unavailableMillisSum,
        int probedKeys,
        int churnKeys,
        long churnSlices,
        double imbalance,
        double doubleOwnerMillis,
        int atMostOnceViolations,
        int falseNotRun,
        int wrongAnswers,
        int calls,
        int served,
        double p50Millis,
        double p99Millis,
        long tableReadsPerSecondMax,
        long tableWritesPerSecondMax,
        double attemptsPerCall,
        int crashedBackends,
        double servedPerSecond,
        long workAfterDrainMillis) {
    /** Tells whether everything that must always hold did hold. */
    @JsonIgnore
    public boolean isSafe() {
        return doubleOwnerMillis == 0 && atMostOnceViolations == 0 && falseNotRun == 0 && wrongAnswers == 0;
    }
}
