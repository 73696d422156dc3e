package org.siskindyke.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.load.CallRecord;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.standin.Ledger;
import org.siskindyke.trial.TrialSummary;

/**
 * The contents of one trial's output directory.
 *
 * @param name name of the directory
 * @param summary contents of {@code summary.json}
 * @param calls contents of {@code calls.jsonl}
 * @param executions entries of all ledgers whose execution began after the first call was due
 */
record TrialFiles(String name, TrialSummary summary, List<CallRecord> calls, List<Ledger.Entry> executions) {
    /**
     * Reads the output directory of a trial.
     *
     * @throws SiskindykeException with code {@code NOT_FOUND} if the directory contains no {@code summary.json}
     */
    static TrialFiles read(Path directory) {
        Path summary = directory.resolve("summary.json");
        if (!Files.isReadable(summary)) {
            throw new SiskindykeException(
                    ErrorCode.NOT_FOUND, "no summary.json in '" + directory + "'; pass the --out directory of a trial");
        }
        try {
            List<CallRecord> calls = readLines(directory.resolve("calls.jsonl"), CallRecord.class);
            long firstNanos =
                    calls.stream().mapToLong(CallRecord::startNanos).min().orElse(0);
            List<Ledger.Entry> executions = new ArrayList<>();
            try (Stream<Path> files = Files.list(directory)) {
                for (Path file : files.filter(f -> f.getFileName().toString().startsWith("ledger-"))
                        .sorted()
                        .toList()) {
                    executions.addAll(readLines(file, Ledger.Entry.class));
                }
            }
            executions.removeIf(e -> e.beginNanos() < firstNanos);
            return new TrialFiles(
                    directory.getFileName().toString(),
                    Json.read(Files.readString(summary), TrialSummary.class),
                    calls,
                    executions);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static <T> List<T> readLines(Path file, Class<T> type) throws IOException {
        try (Stream<String> lines = Files.lines(file)) {
            return new ArrayList<>(lines.filter(l -> l.endsWith("}"))
                    .map(l -> Json.read(l, type))
                    .toList());
        }
    }

    long firstNanos() {
        return calls.stream().mapToLong(CallRecord::startNanos).min().orElse(0);
    }
}
