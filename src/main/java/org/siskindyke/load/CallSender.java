package org.siskindyke.load;

import java.util.List;

import io.servicetalk.concurrent.api.Single;
import org.siskindyke.runtime.call.Header;

/** Sends single calls as a caller of the service does, and checks their answers. */
public interface CallSender extends AutoCloseable {
    /**
     * A call to send.
     *
     * @param service name of the called service
     * @param key the key; null for an undivided service
     * @param method HTTP method
     * @param idempotencyKey value of the Idempotency-Key header; null for none
     * @param attempt number of this attempt of the call, from 1
     * @param headers additional header fields
     * @param body the request body; empty for none
     * @param probe whether the call only probes the availability of its key
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

    /** Returns the number of routers that calls can be sent to. */
    int routerCount();

    /**
     * Sends a call to a router. If the router refuses the connection, an implementation may try other routers.
     *
     * @param call the call
     * @param router index of the router to try first; taken modulo {@link #routerCount}
     * @param dueNanos when the call was due, in nanoseconds of {@link System#nanoTime}; latency is counted from then
     * @return the outcome; a call that fails yields a record without a status and never an error
     */
    Single<CallRecord> send(OutgoingCall call, int router, long dueNanos);

    @Override
    void close();
}
