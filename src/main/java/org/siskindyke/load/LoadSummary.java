package org.siskindyke.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.ConcurrentHistogram;

/** Adds up the outcomes of a load. Safe for use by several threads. */
public final class LoadSummary {
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MEDIAN = 50;
    private static final double TAIL = 99;
    private static final double FAR_TAIL = 99.9;

    private final ConcurrentHistogram latencyMicros = new ConcurrentHistogram(DIGITS);
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private int calls;
    private int wrongAnswers;

    /**
     * The totals.
     *
     * @param calls calls sent
     * @param served calls that a backend server answered
     * @param wrongAnswers answers that were cut or belong to another call
     * @param outcomes calls by verdict and cause
     * @param p50Millis median time to an answer, from the moment that the call was due
     * @param p99Millis 99th percentile of it
     * @param p999Millis 99.9th percentile of it
     */
    public record Totals(
            int calls,
            long served,
            int wrongAnswers,
            Map<String, Integer> outcomes,
            double p50Millis,
            double p99Millis,
            double p999Millis) {}

    /** Counts one call. */
    public void add(CallRecord record) {
        if (record.isServed()) {
            latencyMicros.recordValue(
                    Math.max(0, TimeUnit.NANOSECONDS.toMicros(record.endNanos() - record.startNanos())));
        }
        synchronized (this) {
            calls++;
            wrongAnswers += record.isServed() && !record.answerRight() ? 1 : 0;
            String cause = record.code() == null ? "" : " " + record.code();
            outcomes.merge((record.verdict() == null ? "NO_VERDICT" : record.verdict()) + cause, 1, Integer::sum);
        }
    }

    /** Returns the totals. */
    public synchronized Totals totals() {
        return new Totals(
                calls,
                latencyMicros.getTotalCount(),
                wrongAnswers,
                new TreeMap<>(outcomes),
                latencyMicros.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
                latencyMicros.getValueAtPercentile(TAIL) / MICROS_PER_MILLI,
                latencyMicros.getValueAtPercentile(FAR_TAIL) / MICROS_PER_MILLI);
    }
}
