package org.siskindyke.load;

import java.util.List;

import io.servicetalk.concurrent.api.Single;
import org.siskindyke.runtime.call.Header;

/** Sends single calls, as a caller does, and checks their answers. */
public interface CallSender extends AutoCloseable {
    /**
     * A call to make.
     *
     * @param service the service
     * @param key the key; null for an undivided service
     * @param method HTTP method
     * @param idempotencyKey the Idempotency-Key; null for none
     * @param attempt counts the caller's sends of this call
     * @param headers further fields
     * @param body the body
     * @param probe whether it probes availability
     */
    record OutgoingCall(
            String service,
            String key,
            String method,
            String idempotencyKey,
            int attempt,
            List<Header> headers,
            byte[] body,
            boolean probe) {
        String path() {
            return "/" + service + "/" + (key == null ? "call" : key);
        }
    }

    /** Returns the number of routers to choose from. */
    int routerCount();

    /**
     * Sends a call to a router, or to the next ones where it refuses the connection.
     *
     * @param call the call
     * @param router index of the router to try first
     * @param dueNanos when the call was due
     * @return what became of it; never fails
     */
    Single<CallRecord> send(OutgoingCall call, int router, long dueNanos);

    @Override
    void close();
}
