package org.siskindyke.load;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.runtime.call.Headers;
import org.siskindyke.runtime.http.Http;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.standin.BackendStandin;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/** Sends single calls to the routers over HTTP/1.1 and checks the answers of the backend stand-ins. */
public final class CallerClient implements CallSender {
    private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;
    private static final int OK = 200;
    private static final int MAX_ROUTERS_TRIED = 4;

    private final List<HttpClient> routers;
    private final long timeoutMillis;

    /**
     * Creates a client that waits up to {@value #DEFAULT_TIMEOUT_MILLIS} ms for an answer.
     *
     * @param host IP address of all routers
     * @param callerPorts the routers' ports for callers
     */
    public CallerClient(String host, List<Integer> callerPorts) {
        this(host, callerPorts, DEFAULT_TIMEOUT_MILLIS);
    }

    /**
     * Creates a client.
     *
     * @param host IP address of all routers
     * @param callerPorts the routers' ports for callers
     * @param timeoutMillis maximum wait for an answer
     */
    public CallerClient(String host, List<Integer> callerPorts, long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
        this.routers = callerPorts.stream()
                .map(port -> Http.client(host, port, Http.Protocol.HTTP_1_1))
                .toList();
    }

    @Override
    public int routerCount() {
        return routers.size();
    }

    @Override
    public Single<CallRecord> send(OutgoingCall call, int router, long dueNanos) {
        return trySend(call, router, dueNanos, 1);
    }

    private Single<CallRecord> trySend(OutgoingCall call, int router, long dueNanos, int routersTried) {
        HttpClient client = routers.get(Math.floorMod(router, routers.size()));
        return client.request(request(client, call))
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .map(response -> record(call, response, dueNanos))
                .onErrorResume(failure -> {
                    boolean refused = Http.isNotSent(failure);
                    if (refused && routersTried < Math.min(MAX_ROUTERS_TRIED, routers.size())) {
                        return trySend(call, router + 1, dueNanos, routersTried + 1);
                    }
                    return Single.succeeded(noAnswer(call, dueNanos, refused));
                });
    }

    static HttpRequest request(HttpClient client, OutgoingCall call) {
        HttpRequest request = call.method().equals("POST") ? client.post(call.path()) : client.get(call.path());
        if (call.idempotencyKey() != null) {
            request.headers().set(Headers.IDEMPOTENCY_KEY, call.idempotencyKey());
        }
        if (call.key() != null) {
            request.headers().set(Headers.KEY, call.key());
        }
        call.headers().forEach(h -> request.headers().set(h.name(), h.value()));
        if (call.body().length > 0) {
            request.payloadBody(DEFAULT_ALLOCATOR.wrap(call.body()));
        }
        return request;
    }

    static CallRecord record(OutgoingCall call, HttpResponse response, long dueNanos) {
        int status = response.status().code();
        boolean correct = status == OK
                && isCorrect(
                        call,
                        header(response, Headers.CALL_ID),
                        response.payloadBody().toString(StandardCharsets.UTF_8));
        return new CallRecord(
                header(response, Headers.CALL_ID),
                call.service(),
                call.key(),
                call.method(),
                call.idempotencyKey(),
                call.attempt(),
                dueNanos,
                System.nanoTime(),
                status,
                header(response, Headers.VERDICT),
                header(response, Headers.CODE),
                correct,
                call.probe());
    }

    static CallRecord noAnswer(OutgoingCall call, long dueNanos, boolean refused) {
        return new CallRecord(
                null,
                call.service(),
                call.key(),
                call.method(),
                call.idempotencyKey(),
                call.attempt(),
                dueNanos,
                System.nanoTime(),
                0,
                refused ? Verdict.NOT_RUN.name() : null,
                null,
                false,
                call.probe());
    }

    /** Returns whether a body is the answer of a backend stand-in to the call that the router names. */
    static boolean isCorrect(OutgoingCall call, String namedCallId, String body) {
        try {
            BackendStandin.Answer answer = Json.read(body, BackendStandin.Answer.class);
            return call.path().equals(answer.path())
                    && (mayGetKeptAnswer(call) || Objects.equals(answer.callId(), namedCallId))
                    && (call.key() == null || call.key().equals(answer.key()))
                    && answer.bodyLength() == call.body().length;
        } catch (SiskindykeException e) {
            return false;
        }
    }

    /** Returns whether a router may answer a call as it did an earlier attempt, whose answer names another call. */
    private static boolean mayGetKeptAnswer(OutgoingCall call) {
        return call.idempotencyKey() != null && call.attempt() > 1;
    }

    private static String header(HttpResponse response, String name) {
        CharSequence value = response.headers().get(name);
        return value == null ? null : value.toString();
    }

    @Override
    public void close() {
        routers.forEach(r -> r.closeAsync().subscribe());
    }
}
