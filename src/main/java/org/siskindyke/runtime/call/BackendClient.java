package org.siskindyke.runtime.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.runtime.http.Http;
import org.siskindyke.runtime.peer.Bytes;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/** HTTP/1.1 client of the backend server beside this router; each connection carries one exchange at a time. */
public final class BackendClient implements AutoCloseable {
    /** Largest body of a response that is collected. */
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;

    private static final Duration GRANT_RENEWAL_TIMEOUT = Duration.ofMillis(300);

    private final TargetAnnouncement target;
    private final HttpClient client;
    /** A late copy of a response to a renewal names no call; on connections of its own it reaches none. */
    private final HttpClient renewalClient;

    /**
     * Creates a client.
     *
     * @param target the backend server
     * @param connections number of open connections that are tried before a new one is opened; not a limit on their
     *     number, see {@link Http#client(String, int, Http.Protocol, int, int, StreamingHttpConnectionFilterFactory)}
     */
    public BackendClient(TargetAnnouncement target, int connections) {
        this.target = target;
        this.client = Http.client(
                target.host(),
                target.port(),
                Http.Protocol.HTTP_1_1,
                connections,
                MAX_RESPONSE_BYTES,
                new CallIdFilter());
        this.renewalClient = Http.client(target.host(), target.port(), Http.Protocol.HTTP_1_1);
    }

    /**
     * The grant under which a backend server runs calls of a member.
     *
     * @param member the member that sends the calls; in a divided service, the owner of the slice
     * @param generation generation of the ownership; 0 for an undivided service
     * @param endMillis end of that member's lease, by the host's monotonic clock
     */
    public record Grant(MemberId member, long generation, long endMillis) {}

    public TargetAnnouncement target() {
        return target;
    }

    /**
     * Sends a call.
     *
     * @param call the call
     * @param grant the grant under which the call is sent
     * @param remainingMillis maximum wait for the complete response; values below 1 count as 1
     * @return the outcome; never fails, since errors and timeouts become refusals
     */
    public Single<Reply> send(Call call, Grant grant, long remainingMillis) {
        HttpRequest request =
                client.newRequest(HttpRequestMethod.of(call.method(), properties(call.method())), call.target());
        for (Header header : call.headers()) {
            request.headers().add(header.name(), header.value());
        }
        request.headers().set(Headers.CALL_ID, call.id());
        request.headers().set(Headers.MEMBER, grant.member().value());
        request.headers().set(Headers.DEADLINE, Long.toString(remainingMillis));
        request.headers().set(Headers.GRANT_END, Long.toString(grant.endMillis()));
        if (call.slice() != null) {
            request.headers().set(Headers.SLICE, Integer.toString(call.slice().index()));
            request.headers().set(Headers.KEY, call.key());
            request.headers().set(Headers.GENERATION, Long.toString(grant.generation()));
        }
        if (call.body().length > 0) {
            request.payloadBody(DEFAULT_ALLOCATOR.wrap(call.body()));
        }
        return request(request)
                .map(response -> toReply(call, response))
                .timeout(Duration.ofMillis(Math.max(1, remainingMillis)))
                .onErrorReturn(BackendClient::toReply);
    }

    /** Sends a request over a connection that has not carried its call id. Each other one that is tried is closed. */
    private Single<HttpResponse> request(HttpRequest request) {
        return client.request(request)
                .onErrorResume(CallIdFilter.AlreadyCarriedException.class, notSent -> request(request));
    }

    /**
     * Extends the time during which a backend server that checks grants may run calls of a member.
     *
     * @param grant the grant; its generation is not sent
     * @return completes when the backend server has responded, whatever the status; fails if there is no response
     *     within a short timeout
     */
    public Completable renewGrant(Grant grant) {
        HttpRequest request = renewalClient.put("/siskindyke/grant");
        request.headers().set(Headers.MEMBER, grant.member().value());
        request.headers().set(Headers.GRANT_END, Long.toString(grant.endMillis()));
        return renewalClient.request(request).timeout(GRANT_RENEWAL_TIMEOUT).toCompletable();
    }

    @Override
    public void close() {
        client.closeAsyncGracefully().subscribe();
        renewalClient.closeAsyncGracefully().subscribe();
    }

    private static HttpRequestMethod.Properties properties(String method) {
        return switch (method) {
            case "GET", "HEAD", "OPTIONS", "TRACE" -> HttpRequestMethod.Properties.SAFE_IDEMPOTENT;
            case "PUT", "DELETE" -> HttpRequestMethod.Properties.IDEMPOTENT;
            default -> HttpRequestMethod.Properties.NONE;
        };
    }

    private static Reply toReply(Call call, HttpResponse response) {
        // This call may have run, although the response belongs to another.
        if (CallIdFilter.namesOther(response.headers().get(Headers.CALL_ID), call.id())) {
            return Reply.mayHaveRun(Refusal.ANSWER_LOST);
        }
        int status = response.status().code();
        if (status < FIRST_FINAL_STATUS || status > LAST_STATUS) {
            // No final HTTP status; the call may have run, whatever else the response says.
            return Reply.mayHaveRun(Refusal.ANSWER_LOST);
        }
        CharSequence notRun = response.headers().get(Headers.NOT_RUN);
        if (notRun != null && "true".contentEquals(notRun)) {
            return Reply.notRun(Refusal.TARGET_REFUSED, 0);
        }
        List<Header> headers = new ArrayList<>(Headers.endToEnd(response.headers()));
        headers.removeIf(h -> h.name().startsWith("siskindyke-"));
        return Reply.answer(status, headers, Bytes.of(response.payloadBody()));
    }

    private static Reply toReply(Throwable failure) {
        if (Http.isNotSent(failure)) {
            return Reply.notRun(Refusal.TARGET_UNREACHABLE, 0);
        }
        boolean timeout = failure instanceof java.util.concurrent.TimeoutException;
        return Reply.mayHaveRun(timeout ? Refusal.DEADLINE : Refusal.ANSWER_LOST);
    }
}
