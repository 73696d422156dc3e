package org.siskindyke.kernel.document;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.siskindyke.kernel.document.KeyRule.KeySource;
import org.siskindyke.kernel.id.TargetName;

/** Checks the rules that the types of a document do not express. */
final class DocumentValidator {
    private static final int MAX_TARGETS = 4_096;
    private static final int MAX_SLOTS = 100_000;
    private static final long MAX_TIMEOUT_MILLIS = 600_000;
    private static final int MAX_SEGMENT = 32;
    private static final int MAX_QUEUE_LENGTH = 1_000_000;
    private static final int MAX_PERCENT = 100;
    private static final int MAX_WINDOW_SECONDS = 86_400;

    private final List<DocumentProblem> problems = new ArrayList<>();

    private DocumentValidator() {}

    static List<DocumentProblem> validate(ServiceDocument document) {
        DocumentValidator validator = new DocumentValidator();
        validator.checkMatch(document.match());
        validator.checkKeys(document.keys());
        validator.checkTargets(document.targets());
        validator.checkCalls(document.calls());
        validator.checkBalance(document.balance());
        return validator.problems;
    }

    private void checkMatch(MatchRule match) {
        if (match.hosts().isEmpty() && match.pathPrefix() == null) {
            report("match", "accepts no call", "give hosts or pathPrefix");
        }
        String prefix = match.pathPrefix();
        boolean wellFormed = prefix == null || prefix.length() > 1 && prefix.startsWith("/") && !prefix.endsWith("/");
        if (!wellFormed) {
            report("match.pathPrefix", "is not a path prefix", "start with / and do not end with it");
        }
    }

    private void checkKeys(KeyRule keys) {
        if (!keys.divided()) {
            if (keys.slices() != 0) {
                report("keys.slices", "has no meaning for an undivided service", "remove it");
            }
            return;
        }
        range("keys.slices", keys.slices(), 1, KeyRule.MAX_SLICES, "slices");
        if (keys.source() == null) {
            report("keys.source", "is missing", "use HEADER, QUERY or PATH_SEGMENT");
            return;
        }
        if (keys.source() == KeySource.PATH_SEGMENT) {
            range("keys.segment", keys.segment(), 0, MAX_SEGMENT, "path segments");
        } else if (keys.name() == null || keys.name().isBlank()) {
            report("keys.name", "is missing", "name the header or query parameter that holds the key");
        }
    }

    private void checkTargets(List<TargetSpec> targets) {
        if (targets.isEmpty() || targets.size() > MAX_TARGETS) {
            report("targets", "has " + targets.size() + " entries", "give 1 to " + MAX_TARGETS);
        }
        Set<TargetName> names = new HashSet<>();
        for (int i = 0; i < targets.size(); i++) {
            TargetSpec target = targets.get(i);
            String path = "targets[" + i + "]";
            if (!names.add(target.name())) {
                report(path + ".name", "'" + target.name() + "' is used twice", "give each target its own name");
            }
            range(path + ".slots", target.slots(), 1, MAX_SLOTS, "calls");
            range(path + ".connections", target.connections(), 1, MAX_SLOTS, "connections");
            if (target.connections() < target.slots()) {
                report(
                        path + ".connections",
                        "is lower than slots, so that slots could never all be used",
                        "give at least " + target.slots());
            }
        }
    }

    private void checkCalls(CallRule calls) {
        range("calls.timeoutMillis", calls.timeoutMillis(), 1, MAX_TIMEOUT_MILLIS, "milliseconds");
        range("calls.retryBudgetPercent", calls.retryBudgetPercent(), 0, MAX_PERCENT, "percent");
        range("calls.queueLength", calls.queueLength(), 0, MAX_QUEUE_LENGTH, "calls");
        range("calls.queueMillis", calls.queueMillis(), 0, calls.timeoutMillis(), "milliseconds");
        range("calls.resendWindowSeconds", calls.resendWindowSeconds(), 1, MAX_WINDOW_SECONDS, "seconds");
    }

    private void checkBalance(BalanceRule balance) {
        weight("balance.unavailableTimeWeight", balance.unavailableTimeWeight());
        weight("balance.churnWeight", balance.churnWeight());
    }

    private void weight(String path, double value) {
        if (!(value >= 0 && value <= 1)) {
            report(path, "is " + value, "give a number from 0 to 1");
        }
    }

    private void range(String path, long value, long low, long high, String unit) {
        if (value < low || value > high) {
            report(path, "is " + value, "give " + low + " to " + high + " " + unit);
        }
    }

    private void report(String path, String message, String fix) {
        problems.add(new DocumentProblem(path, 0, message, fix));
    }
}
