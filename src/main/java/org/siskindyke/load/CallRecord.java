package org.siskindyke.load;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * The outcome of one call of the load, as the caller saw it. Files of calls contain one as JSON per line.
 *
 * @param id identifies the call in the routers' logs and the ledgers; null if no router answered
 * @param service name of the called service
 * @param key the key; null for an undivided service
 * @param method HTTP method
 * @param idempotencyKey value of the Idempotency-Key header; null if there was none
 * @param attempt number of this attempt of the call by the caller, from 1
 * @param startNanos when the call was due to be sent, in nanoseconds of the host's monotonic clock
 * @param endNanos when the outcome was known, in nanoseconds of the same clock
 * @param status HTTP status; 0 if no router answered
 * @param verdict the router's verdict; if no router answered, {@code NOT_RUN} if the call was never sent, else null
 * @param code the router's reason for a refusal; null if the answer has none
 * @param answerRight whether the answer was complete and belongs to this request; false if there was none
 * @param probe whether the call only probes the availability of its key
 */
public record CallRecord(
        String id,
        String service,
        String key,
        String method,
        String idempotencyKey,
        int attempt,
        long startNanos,
        long endNanos,
        int status,
        String verdict,
        String code,
        boolean answerRight,
        boolean probe) {
    private static final int OK = 200;

    /** Returns whether the call was answered with HTTP status 200. */
    @JsonIgnore
    public boolean isServed() {
        return status == OK;
    }
}
