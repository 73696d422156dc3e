package org.siskindyke.runtime.call;

import java.util.List;

import org.siskindyke.kernel.call.SchedulingAttributes;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;

/**
 * A call on its way to a backend server.
 *
 * @param id identifies the call
 * @param service the service it is for
 * @param key its key; null for an undivided service
 * @param slice the slice of its key; null for an undivided service
 * @param method HTTP method
 * @param target request target: path and query
 * @param headers fields to pass on
 * @param body the whole body
 * @param deadlineMillis moment by this process's clock at which the caller gets a final answer
 * @param idempotent whether it may run more than once
 * @param scheduling its place among calls that wait
 */
public record Call(
        String id,
        ServiceName service,
        String key,
        SliceRef slice,
        String method,
        String target,
        List<Header> headers,
        byte[] body,
        long deadlineMillis,
        boolean idempotent,
        SchedulingAttributes scheduling) {
    /** Returns the call with another urgency. */
    public Call withScheduling(SchedulingAttributes other) {
        return new Call(id, service, key, slice, method, target, headers, body, deadlineMillis, idempotent, other);
    }

    /** Returns the path of the target, without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the Idempotency-Key, or null. */
    public String idempotencyKey() {
        return Headers.first(headers, Headers.IDEMPOTENCY_KEY);
    }

    /** Returns the time left at a moment, in milliseconds. */
    public long remainingMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }
}
