package org.siskindyke.load;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * What became of one call of a load.
 *
 * @param id identifies the call in routers' logs and ledgers; null where no router answered
 * @param service the service
 * @param key the key; null for an undivided service
 * @param method HTTP method
 * @param idempotencyKey the Idempotency-Key; null for none
 * @param attempt counts the caller's own sends of this call, from 1
 * @param startNanos when it was due to be sent, by the host's monotonic clock
 * @param endNanos when its outcome was known
 * @param status HTTP status; 0 where no router answered
 * @param verdict the verdict; null where no router answered
 * @param code the cause of a refusal; null for answers
 * @param answerRight whether the answer was whole and to this request; false where there was none
 * @param probe whether it was a probe of availability
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

    /** Tells whether a backend server answered. */
    @JsonIgnore
    public boolean isServed() {
        return status == OK;
    }
}
