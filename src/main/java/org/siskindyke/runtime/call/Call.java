package org.siskindyke.runtime.call;

import java.util.List;

import org.siskindyke.kernel.call.SchedulingAttributes;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;

/**
 * A caller's request that is to be run by a backend server.
 *
 * @param id identifies the call; {@link CallReader} generates it, {@link
 *     org.siskindyke.runtime.traffic.CallerRequestHandler} takes it from the caller's request
 * @param caller who sent the call
 * @param service the service that the call is for
 * @param key the call's key; null if it has none
 * @param slice the slice of the key; null if the call has no key or its service is undivided
 * @param method HTTP method
 * @param target request target: path and query
 * @param headers header fields to pass on
 * @param body the whole body
 * @param deadlineMillis time by which the caller gets a final answer, by this process's monotonic clock
 * @param idempotent whether the call may run more than once
 * @param scheduling attributes that order the call among those waiting for a slot
 */
public record Call(
        String id,
        ClientAccount caller,
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
    /** Returns a copy of the call with other scheduling attributes. */
    public Call withScheduling(SchedulingAttributes other) {
        return new Call(
                id, caller, service, key, slice, method, target, headers, body, deadlineMillis, idempotent, other);
    }

    /** Returns the fingerprint of the call's content. */
    public RequestFingerprint fingerprint() {
        return RequestFingerprint.of(service, method, target, body);
    }

    /** Returns the path of the target, without the query. */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the value of the Idempotency-Key header, or null if there is none. */
    public String idempotencyKey() {
        return Headers.first(headers, Headers.IDEMPOTENCY_KEY);
    }

    /** Returns the milliseconds from {@code nowMillis} to the deadline; negative once it has passed. */
    public long remainingMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }
}
