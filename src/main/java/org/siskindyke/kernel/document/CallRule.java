package org.siskindyke.kernel.document;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Timeouts, queue limits and retry rules for the calls of a service. Optional fields that are absent get defaults.
 *
 * @param timeoutMillis maximum time from arrival to response, and maximum run time of a call: a call without a
 *     response is assumed to have ended this long after it was sent
 * @param idempotentMethods methods whose calls may run more than once; GET and HEAD by default
 * @param idempotentPaths path prefixes whose calls may run more than once
 * @param retryBudgetPercent retries allowed per 100 first attempts; retries of attempts that are known not to have
 *     reached a backend server are not counted
 * @param queueLength calls that may wait for a slot of a target
 * @param queueMillis maximum time that a call waits for a slot or an owner; a quarter of {@code timeoutMillis} by
 *     default
 * @param resendWindowSeconds how long the Idempotency-Key of a call is kept
 */
public record CallRule(
        @JsonProperty(required = true) long timeoutMillis,
        List<String> idempotentMethods,
        List<String> idempotentPaths,
        Integer retryBudgetPercent,
        Integer queueLength,
        Long queueMillis,
        Integer resendWindowSeconds) {
    private static final int DEFAULT_RETRY_BUDGET_PERCENT = 10;
    private static final int DEFAULT_QUEUE_LENGTH = 64;
    private static final int DEFAULT_RESEND_WINDOW_SECONDS = 600;
    private static final int DEFAULT_TIMEOUT_TO_QUEUE_RATIO = 4;

    /** Copies the lists and fills in defaults. */
    public CallRule {
        idempotentMethods = idempotentMethods == null ? List.of("GET", "HEAD") : List.copyOf(idempotentMethods);
        idempotentPaths = idempotentPaths == null ? List.of() : List.copyOf(idempotentPaths);
        retryBudgetPercent = retryBudgetPercent == null ? DEFAULT_RETRY_BUDGET_PERCENT : retryBudgetPercent;
        queueLength = queueLength == null ? DEFAULT_QUEUE_LENGTH : queueLength;
        queueMillis = queueMillis == null ? Long.valueOf(timeoutMillis / DEFAULT_TIMEOUT_TO_QUEUE_RATIO) : queueMillis;
        resendWindowSeconds = resendWindowSeconds == null ? DEFAULT_RESEND_WINDOW_SECONDS : resendWindowSeconds;
    }

    /** Returns whether a call may run more than once. */
    public boolean isIdempotent(String method, String path) {
        return idempotentMethods.contains(method) || idempotentPaths.stream().anyMatch(path::startsWith);
    }
}
