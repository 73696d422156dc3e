package org.siskindyke.load;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.ConcurrentHistogram;

/** Counts the outcomes and latencies of a load. Thread-safe. */
public final class LoadSummary {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MEDIAN = 50;
    private static final double PERCENTILE_99 = 99;
    private static final double PERCENTILE_99_9 = 99.9;

    private final ConcurrentHistogram latencyMicros = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private int calls;
    private int wrongAnswers;

    /**
     * The totals.
     *
     * @param calls attempts whose outcome was recorded
     * @param served calls answered with HTTP status 200
     * @param wrongAnswers served calls whose answer was incomplete or belongs to another request
     * @param outcomes number of calls by verdict and reason of refusal, such as {@code "NOT_RUN NO_OWNER"}
     * @param p50Millis median latency of served calls, counted from when the call was due
     * @param p99Millis 99th percentile of the latency
     * @param p999Millis 99.9th percentile of the latency
     */
    public record Totals(
            int calls,
            long served,
            int wrongAnswers,
            Map<String, Integer> outcomes,
            double p50Millis,
            double p99Millis,
            double p999Millis) {}

    /** Adds the outcome of one attempt. */
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

    /** Returns the totals of all outcomes added so far. */
    public synchronized Totals totals() {
        return new Totals(
                calls,
                latencyMicros.getTotalCount(),
                wrongAnswers,
                new TreeMap<>(outcomes),
                latencyMicros.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
                latencyMicros.getValueAtPercentile(PERCENTILE_99) / MICROS_PER_MILLI,
                latencyMicros.getValueAtPercentile(PERCENTILE_99_9) / MICROS_PER_MILLI);
    }
}
