package org.siskindyke.kernel.document;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.siskindyke.kernel.document.KeyRule.KeySource;
import org.siskindyke.kernel.id.TargetName;

/** Checks the constraints on a document that its types do not express. */
final class DocumentValidator {
    private static final int MAX_TARGETS = 4_096;
    private static final int MAX_SLOTS = 100_000;
    private static final long MAX_TIMEOUT_MILLIS = 600_000;
    private static final int MAX_SEGMENT_INDEX = 32;
    private static final int MAX_QUEUE_LENGTH = 1_000_000;
    private static final int MAX_RETRY_BUDGET_PERCENT = 100;
    private static final int MAX_RESEND_WINDOW_SECONDS = 86_400;

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
            addProblem("match", "matches no call", "give hosts or pathPrefix");
        }
        String prefix = match.pathPrefix();
        boolean wellFormed = prefix == null || prefix.length() > 1 && prefix.startsWith("/") && !prefix.endsWith("/");
        if (!wellFormed) {
            addProblem("match.pathPrefix", "is not a path prefix", "start with / and do not end with it");
        }
    }

    private void checkKeys(KeyRule keys) {
        if (!keys.divided()) {
            if (keys.slices() != 0) {
                addProblem("keys.slices", "has no meaning for an undivided service", "remove it");
            }
            return;
        }
        checkRange("keys.slices", keys.slices(), 1, KeyRule.MAX_SLICES, "slices");
        if (keys.source() == null) {
            addProblem("keys.source", "is missing", "use HEADER, QUERY or PATH_SEGMENT");
            return;
        }
        if (keys.source() == KeySource.PATH_SEGMENT) {
            checkRange("keys.segment", keys.segment(), 0, MAX_SEGMENT_INDEX, "path segments");
        } else if (keys.name() == null || keys.name().isBlank()) {
            addProblem("keys.name", "is missing", "name the header or query parameter that holds the key");
        }
    }

    private void checkTargets(List<TargetSpec> targets) {
        if (targets.isEmpty() || targets.size() > MAX_TARGETS) {
            addProblem("targets", "has " + targets.size() + " entries", "give 1 to " + MAX_TARGETS);
        }
        Set<TargetName> names = new HashSet<>();
        for (int i = 0; i < targets.size(); i++) {
            TargetSpec target = targets.get(i);
            String path = "targets[" + i + "]";
            if (!names.add(target.name())) {
                addProblem(path + ".name", "'" + target.name() + "' is used twice", "give each target its own name");
            }
            checkRange(path + ".slots", target.slots(), 1, MAX_SLOTS, "calls");
            checkRange(path + ".connections", target.connections(), 1, MAX_SLOTS, "connections");
            if (target.connections() < target.slots()) {
                addProblem(
                        path + ".connections",
                        "is lower than slots, so the slots could never all be used",
                        "give at least " + target.slots());
            }
        }
    }

    private void checkCalls(CallRule calls) {
        checkRange("calls.timeoutMillis", calls.timeoutMillis(), 1, MAX_TIMEOUT_MILLIS, "milliseconds");
        checkRange("calls.retryBudgetPercent", calls.retryBudgetPercent(), 0, MAX_RETRY_BUDGET_PERCENT, "percent");
        checkRange("calls.queueLength", calls.queueLength(), 0, MAX_QUEUE_LENGTH, "calls");
        checkRange("calls.queueMillis", calls.queueMillis(), 0, calls.timeoutMillis(), "milliseconds");
        checkRange("calls.resendWindowSeconds", calls.resendWindowSeconds(), 1, MAX_RESEND_WINDOW_SECONDS, "seconds");
    }

    private void checkBalance(BalanceRule balance) {
        checkWeight("balance.unavailableTimeWeight", balance.unavailableTimeWeight());
        checkWeight("balance.churnWeight", balance.churnWeight());
    }

    private void checkWeight(String path, double value) {
        if (!(value >= 0 && value <= 1)) {
            addProblem(path, "is " + value, "give a number from 0 to 1");
        }
    }

    private void checkRange(String path, long value, long low, long high, String unit) {
        if (value < low || value > high) {
            addProblem(path, "is " + value, "give " + low + " to " + high + " " + unit);
        }
    }

    private void addProblem(String path, String message, String fix) {
        problems.add(new DocumentProblem(path, 0, message, fix));
    }
}
