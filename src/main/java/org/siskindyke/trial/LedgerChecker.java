package org.siskindyke.trial;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.load.CallRecord;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.standin.Ledger;

/** Checks a trial against the ledgers of the backend servers and the records of callers, independent of the routers. */
final class LedgerChecker {
    private static final double NANOS_PER_MILLI = 1e6;

    private final List<Ledger.Entry> entries = new ArrayList<>();
    private final List<CallRecord> calls;

    /**
     * Reads the ledgers.
     *
     * @param directory directory of the ledgers
     * @param calls records of the callers
     * @param sinceNanos executions that began earlier, by the host's monotonic clock, are left out
     */
    LedgerChecker(File directory, List<CallRecord> calls, long sinceNanos) {
        this.calls = calls;
        File[] files = directory.listFiles((d, name) -> name.startsWith("ledger-"));
        for (File file : files == null ? new File[0] : files) {
            read(file, sinceNanos);
        }
    }

    private void read(File file, long sinceNanos) {
        try (Stream<String> lines = Files.lines(file.toPath())) {
            lines.filter(l -> l.endsWith("}"))
                    .map(l -> Json.read(l, Ledger.Entry.class))
                    .filter(e -> e.beginNanos() >= sinceNanos)
                    .forEach(entries::add);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    int executions() {
        return entries.size();
    }

    /** Returns the total time in which completed executions of a key overlapped at different owners. */
    double doubleOwnerMillis() {
        Map<String, List<Ledger.Entry>> byKey = new HashMap<>();
        entries.stream()
                .filter(e -> e.key() != null && e.completed())
                .forEach(e ->
                        byKey.computeIfAbsent(e.key(), k -> new ArrayList<>()).add(e));
        double total = 0;
        for (List<Ledger.Entry> ofKey : byKey.values()) {
            ofKey.sort(Comparator.comparingLong(Ledger.Entry::beginNanos));
            total += overlap(ofKey);
        }
        return total;
    }

    private static double overlap(List<Ledger.Entry> ofKey) {
        double total = 0;
        for (int i = 0; i < ofKey.size(); i++) {
            Ledger.Entry first = ofKey.get(i);
            for (int j = i + 1; j < ofKey.size() && ofKey.get(j).beginNanos() < first.endNanos(); j++) {
                Ledger.Entry second = ofKey.get(j);
                if (!sameOwner(first, second)) {
                    total += (Math.min(first.endNanos(), second.endNanos()) - second.beginNanos()) / NANOS_PER_MILLI;
                }
            }
        }
        return total;
    }

    private static boolean sameOwner(Ledger.Entry first, Ledger.Entry second) {
        return first.target().equals(second.target()) && first.generation() == second.generation();
    }

    /** Counts idempotency keys whose calls took effect more than once. */
    int atMostOnceViolations() {
        Map<String, Integer> effects = new HashMap<>();
        entries.stream()
                .filter(e -> e.idempotencyKey() != null && e.completed())
                .forEach(e -> effects.merge(e.idempotencyKey(), 1, Integer::sum));
        return (int) effects.values().stream().filter(n -> n > 1).count();
    }

    /** Counts calls that were reported as not run although a ledger lists them. */
    int falseNotRun() {
        Set<String> executed = new HashSet<>();
        entries.forEach(e -> executed.add(e.callId()));
        return (int) calls.stream()
                .filter(c -> Verdict.NOT_RUN.name().equals(c.verdict()) && executed.contains(c.id()))
                .count();
    }

    int wrongAnswers() {
        return (int)
                calls.stream().filter(c -> c.isServed() && !c.answerRight()).count();
    }

    /** Counts keys that ran at more than one backend server. */
    int churnKeys() {
        Map<String, Set<String>> targets = new HashMap<>();
        entries.stream()
                .filter(e -> e.key() != null)
                .forEach(e ->
                        targets.computeIfAbsent(e.key(), k -> new HashSet<>()).add(e.target()));
        return (int) targets.values().stream().filter(t -> t.size() > 1).count();
    }

    /** Returns the executions of the busiest backend server of a service divided by the mean; 0 without executions. */
    double imbalance(String service) {
        Map<String, Integer> counts = new TreeMap<>();
        entries.stream()
                .filter(e -> e.target().startsWith(service))
                .forEach(e -> counts.merge(e.target(), 1, Integer::sum));
        double mean = counts.values().stream().mapToInt(n -> n).average().orElse(0);
        int max = counts.values().stream().mapToInt(n -> n).max().orElse(0);
        return mean == 0 ? 0 : max / mean;
    }

    /**
     * Returns the start of the last execution at a backend server, in milliseconds after a moment; 0 if there is
     * no execution.
     */
    long lastWorkAfterMillis(String target, long momentNanos) {
        return entries.stream()
                .filter(e -> e.target().equals(target))
                .mapToLong(e -> (long) ((e.beginNanos() - momentNanos) / NANOS_PER_MILLI))
                .max()
                .orElse(0);
    }

    /** Returns, for each probed key, the lengths of the spans in which it was not served, in milliseconds. */
    Map<String, List<Long>> unavailableSpans() {
        Map<String, List<CallRecord>> probes = new TreeMap<>();
        calls.stream()
                .filter(CallRecord::probe)
                .forEach(c ->
                        probes.computeIfAbsent(c.key(), k -> new ArrayList<>()).add(c));
        Map<String, List<Long>> spans = new TreeMap<>();
        probes.forEach((key, ofKey) -> {
            ofKey.sort(Comparator.comparingLong(CallRecord::startNanos));
            spans.put(key, spans(ofKey));
        });
        return spans;
    }

    /** Returns the spans from the start of a first failed probe to the answer to the next served one. */
    private static List<Long> spans(List<CallRecord> probes) {
        List<Long> spans = new ArrayList<>();
        long failedSinceNanos = 0;
        for (CallRecord probe : probes) {
            if (!probe.isServed()) {
                failedSinceNanos = failedSinceNanos == 0 ? probe.startNanos() : failedSinceNanos;
            } else if (failedSinceNanos != 0) {
                spans.add((long) ((probe.endNanos() - failedSinceNanos) / NANOS_PER_MILLI));
                failedSinceNanos = 0;
            }
        }
        if (failedSinceNanos != 0) {
            long lastNanos = probes.get(probes.size() - 1).endNanos();
            spans.add((long) ((lastNanos - failedSinceNanos) / NANOS_PER_MILLI));
        }
        return spans;
    }
}
