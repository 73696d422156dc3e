package org.siskindyke.trial;

import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;

import org.HdrHistogram.Histogram;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.load.CallRecord;
import org.siskindyke.load.CallSender;
import org.siskindyke.load.CallerClient;
import org.siskindyke.load.HashingClient;
import org.siskindyke.load.LoadGenerator;
import org.siskindyke.load.LoadSettings;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.standin.TableStandin;

/** Runs one scenario under load and writes a summary and the records of all calls. */
public final class TrialRunner {
    private static final int PROBED_KEYS = 32;
    private static final long PROBE_INTERVAL_MILLIS = 100;
    private static final long WARM_UP_MILLIS = 5_000;
    private static final long BEFORE_FAULT_MILLIS = 1_000;
    private static final long AFTER_FAULT_MILLIS = 4_000;
    private static final int RETRY_PERCENT = 50;

    /** Longer than the call timeout of the service documents, so that routers answer first unless they are frozen. */
    private static final long CALLER_TIMEOUT_MILLIS = 1_300;

    private static final long NANOS_PER_MICRO = 1_000;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double P99_PERCENTILE = 99;

    private final String binary;
    private final Scenario scenario;
    private final long seed;
    private final TrialMode mode;
    private final File directory;
    private long measuredSinceNanos;
    private final List<CallRecord> calls = Collections.synchronizedList(new ArrayList<>());

    /**
     * Prepares a run.
     *
     * @param binary the program's executable file
     * @param scenario the scenario
     * @param seed seed of all random choices
     * @param mode the system under test
     * @param directory receives all files; ledgers, records and logs of earlier trials in it are deleted
     */
    public TrialRunner(String binary, Scenario scenario, long seed, TrialMode mode, File directory) {
        this.binary = binary;
        this.scenario = scenario;
        this.seed = seed;
        this.mode = mode;
        this.directory = Trial.prepareDirectory(directory);
    }

    /** Runs the scenario and writes {@code summary.json} and {@code calls.jsonl}. */
    public TrialSummary run() {
        try (Trial trial = new Trial(binary, directory, seed, mode, scenario)) {
            trial.start();
            long generationsBefore = trial.generationSum();
            try (CallSender client = sender(trial)) {
                runUnderLoad(trial, client);
            }
            TrialSummary summary = summarize(trial, trial.generationSum() - generationsBefore);
            write(summary);
            return summary;
        }
    }

    private CallSender sender(Trial trial) {
        if (mode == TrialMode.FIXED_HASHING) {
            return new HashingClient(() -> trial.instances().stream()
                    .flatMap(i -> i.backendPorts().stream())
                    .toList());
        }
        return new CallerClient("127.0.0.1", trial.callerPorts(), CALLER_TIMEOUT_MILLIS);
    }

    private void runUnderLoad(Trial trial, CallSender client) {
        LoadGenerator warmUp = new LoadGenerator(load(WARM_UP_MILLIS, 0), client, record -> {});
        warmUp.run();
        trial.resetTableStats();
        measuredSinceNanos = System.nanoTime();
        LoadGenerator load =
                new LoadGenerator(load(scenario.info().durationMillis(), scenario.orderPercent()), client, calls::add);
        List<String> keys =
                IntStream.range(0, PROBED_KEYS).mapToObj(i -> "probe-" + i).toList();
        LoadGenerator.Prober prober =
                new LoadGenerator.Prober(Trial.DIVIDED, keys, PROBE_INTERVAL_MILLIS, client, calls::add);
        trial.setLoad(load);
        Thread loading = new Thread(load::run, "load");
        Thread probing = new Thread(prober, "prober");
        loading.start();
        probing.start();
        Trial.sleep(BEFORE_FAULT_MILLIS);
        scenario.run(trial);
        Trial.sleep(AFTER_FAULT_MILLIS);
        prober.stop();
        load.stop();
        join(probing);
        join(loading);
    }

    private LoadSettings load(long durationMillis, int orderPercent) {
        return new LoadSettings(
                Trial.DIVIDED,
                true,
                scenario.ratePerSecond(),
                durationMillis,
                scenario.keys(),
                scenario.zipfExponent(),
                orderPercent,
                RETRY_PERCENT,
                seed,
                List.of());
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SiskindykeException(ErrorCode.INTERNAL, "interrupted", e);
        }
    }

    private TrialSummary summarize(Trial trial, long churnSlices) {
        List<CallRecord> records = List.copyOf(calls);
        LedgerChecker checker = new LedgerChecker(directory, records, measuredSinceNanos);
        List<Long> spans = checker.unavailableSpans().values().stream()
                .flatMap(List::stream)
                .toList();
        Histogram latency = new Histogram(3);
        records.stream()
                .filter(CallRecord::isServed)
                .forEach(c -> latency.recordValue(Math.max(0, (c.endNanos() - c.startNanos()) / NANOS_PER_MICRO)));
        TableStandin.Stats table = trial.tableStats();
        return new TrialSummary(
                scenario.info().name(),
                mode,
                seed,
                spans.stream().mapToLong(Long::longValue).max().orElse(0),
                spans.stream().mapToLong(Long::longValue).sum(),
                PROBED_KEYS,
                checker.churnKeys(),
                churnSlices,
                checker.imbalance(Trial.DIVIDED),
                checker.doubleOwnerMillis(),
                checker.atMostOnceViolations(),
                checker.falseNotRun(),
                checker.wrongAnswers(),
                records.size(),
                (int) latency.getTotalCount(),
                latency.getValueAtPercentile(MEDIAN_PERCENTILE) / MICROS_PER_MILLI,
                latency.getValueAtPercentile(P99_PERCENTILE) / MICROS_PER_MILLI,
                table.mostReadsInSecond(),
                table.mostWritesInSecond(),
                records.isEmpty() ? 0 : (double) checker.executions() / records.size(),
                trial.crashedBackends(),
                servedPerSecond(records),
                trial.workAfterDrainMillis(checker));
    }

    private static double servedPerSecond(List<CallRecord> records) {
        List<CallRecord> load = records.stream().filter(c -> !c.probe()).toList();
        long firstNanos = load.stream().mapToLong(CallRecord::startNanos).min().orElse(0);
        long lastNanos = load.stream().mapToLong(CallRecord::startNanos).max().orElse(0);
        double seconds = Math.max(1, lastNanos - firstNanos) / NANOS_PER_SECOND;
        return load.stream().filter(CallRecord::isServed).count() / seconds;
    }

    private void write(TrialSummary summary) {
        Path callsPath = directory.toPath().resolve("calls.jsonl");
        try (BufferedWriter writer = Files.newBufferedWriter(callsPath)) {
            Files.writeString(directory.toPath().resolve("summary.json"), Json.write(summary) + "\n");
            for (CallRecord call : calls) {
                writer.write(Json.write(call));
                writer.newLine();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
