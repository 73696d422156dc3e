package org.siskindyke.trial;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * The result of a trial, written to {@code summary.json}.
 *
 * @param scenario name of the scenario
 * @param mode the system under test
 * @param seed seed of the random choices
 * @param unavailableMillisMax longest span in which a probed key was not served
 * @param unavailableMillisSum sum of all such spans over the probed keys
 * @param probedKeys number of probed keys
 * @param churnKeys keys that ran at more than one backend server
 * @param churnSlices changes of owner, summed over the slices
 * @param imbalance executions of the busiest backend server divided by the mean
 * @param doubleOwnerMillis total time in which executions of a key overlapped at different owners
 * @param atMostOnceViolations orders that took effect more than once
 * @param falseNotRun calls that were reported as not run although a ledger lists them
 * @param wrongAnswers answers that were truncated or belong to another call
 * @param calls calls sent, including probes
 * @param served calls that a backend server answered
 * @param p50Millis median latency of served calls
 * @param p99Millis 99th percentile of that latency
 * @param tableReadsPerSecondMax largest number of reads of the table in one second
 * @param tableWritesPerSecondMax largest number of transactions in one second
 * @param attemptsPerCall executions listed in ledgers per call sent
 * @param crashedBackends instances with a backend server that was not running at the end
 * @param servedPerSecond served calls of the load per second, without probes
 * @param workAfterDrainMillis time from the start of a drain to the last execution that began at the draining backend
 *     server; -1 without a drain
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
    /** Returns whether no safety invariant was violated: one owner, at most once, true refusals and correct answers. */
    @JsonIgnore
    public boolean isSafe() {
        return doubleOwnerMillis == 0 && atMostOnceViolations == 0 && falseNotRun == 0 && wrongAnswers == 0;
    }
}
