package org.siskindyke.runtime;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Supplier;

import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.CallMetrics;
import org.siskindyke.runtime.call.CallReader;
import org.siskindyke.runtime.call.CallRouter;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Headers;
import org.siskindyke.runtime.call.MemberServingState;
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.runtime.traffic.Cancellable;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.TrafficLoop;

/** Serves the requests of a {@link RouterProcess}'s callers; each response carries a verdict. */
final class CallerServer implements HttpExchange.Handler, HttpExchange.Rejections {
    private static final long MILLIS_PER_SECOND = 1_000;
    /** In place of the id of a call, for requests that are refused before they have one. */
    private static final String NO_ID = "-";

    private static final Set<String> OWN_FIELDS = Set.of(Headers.CALL_ID, Headers.VERDICT);
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final int URI_TOO_LONG = 414;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final int UNAVAILABLE = 503;

    private final TrafficLoop traffic;
    private final CallReader reader;
    private final CallRouter router;
    private final Supplier<MemberServingState> state;
    private final CallMetrics metrics;

    /**
     * Creates the handler.
     *
     * @param traffic the loop on which requests arrive
     * @param reader converts requests to calls
     * @param router routes calls
     * @param state returns the serving state of the current member
     * @param metrics records calls and refusals
     */
    CallerServer(
            TrafficLoop traffic,
            CallReader reader,
            CallRouter router,
            Supplier<MemberServingState> state,
            CallMetrics metrics) {
        this.traffic = traffic;
        this.reader = reader;
        this.router = router;
        this.state = state;
        this.metrics = metrics;
    }

    /**
     * The body of a refusal, written as JSON.
     *
     * @param code the cause
     * @param verdict whether the request may have run
     * @param callId identifies the call in logs; {@code -} if the request was refused before it had an id
     * @param retryAfterMillis delay before the caller should retry; null if not known
     */
    record Refused(Refusal code, Verdict verdict, String callId, Long retryAfterMillis) {}

    @Override
    public Cancellable handle(HttpExchange.Request request, HttpExchange.Responder responder) {
        long startNanos = System.nanoTime();
        CallReader.Result result = reader.read(
                new CallReader.Request(request.method(), request.target(), request.headers(), request.body()),
                callerOf(request.remote()),
                state.get().view());
        if (result.call() == null) {
            responder.respond(refuseUnread(result.refusal(), 0));
            return Cancellable.NONE;
        }
        CallInProgress inProgress = new CallInProgress(result.call(), responder, startNanos);
        inProgress.work = router.route(result.call(), result.document())
                .onErrorReturn(failure -> Reply.mayHaveRun(Refusal.INTERNAL_ERROR))
                .subscribe(reply -> traffic.execute(() -> inProgress.onReply(reply)));
        return inProgress;
    }

    /** A call that is being routed. Confined to the traffic loop. */
    private final class CallInProgress implements Cancellable {
        private final Call call;
        private final HttpExchange.Responder responder;
        private final long startNanos;
        private io.servicetalk.concurrent.Cancellable work;
        private boolean ended;

        private CallInProgress(Call call, HttpExchange.Responder responder, long startNanos) {
            this.call = call;
            this.responder = responder;
            this.startNanos = startNanos;
        }

        private void onReply(Reply reply) {
            if (!ended) {
                ended = true;
                metrics.onReply(call, reply, System.nanoTime() - startNanos);
                responder.respond(respond(call, reply));
            }
        }

        @Override
        public void cancel() {
            ended = true;
            work.cancel();
        }

        @Override
        public void giveUp() {
            if (!ended) {
                work.cancel();
                onReply(Reply.mayHaveRun(Refusal.GIVEN_UP));
            }
        }
    }

    /** Returns the caller's address; a caller whose address has another form than the usual ones is unknown. */
    private static ClientAccount callerOf(InetSocketAddress address) {
        return address.getHostString().contains("%")
                ? ClientAccount.UNKNOWN
                : ClientAccount.of(address.getHostString());
    }

    @Override
    public HttpExchange.Response create(int status, long retryAfterMillis) {
        Refusal refusal =
                switch (status) {
                    case REQUEST_TIMEOUT -> Refusal.REQUEST_TIMEOUT;
                    case TOO_LARGE -> Refusal.BODY_TOO_LARGE;
                    case URI_TOO_LONG -> Refusal.URI_TOO_LONG;
                    case HEADERS_TOO_LARGE -> Refusal.HEADERS_TOO_LARGE;
                    case UNAVAILABLE -> Refusal.NO_MEMORY;
                    default -> Refusal.MALFORMED_REQUEST;
                };
        return refuseUnread(refusal, retryAfterMillis);
    }

    /** Refuses a request that has no call id, and counts it. */
    HttpExchange.Response refuseUnread(Refusal refusal, long retryAfterMillis) {
        metrics.onRefusedRequest(refusal);
        return refuse(NO_ID, Reply.notRun(refusal, retryAfterMillis));
    }

    private static HttpExchange.Response respond(Call call, Reply reply) {
        return reply.isAnswer() ? answer(call, reply) : refuse(call.id(), reply);
    }

    private static HttpExchange.Response answer(Call call, Reply reply) {
        List<Header> headers = new ArrayList<>(reply.headers());
        headers.removeIf(header -> OWN_FIELDS.contains(header.name().toLowerCase(Locale.ROOT)));
        headers.add(new Header(Headers.CALL_ID, call.id()));
        headers.add(new Header(Headers.VERDICT, reply.verdict().name()));
        return new HttpExchange.Response(reply.status(), headers, reply.body());
    }

    private static HttpExchange.Response refuse(String callId, Reply reply) {
        Long retryAfterMillis = reply.retryAfterMillis() > 0 ? reply.retryAfterMillis() : null;
        Refused refused = new Refused(reply.refusal(), reply.verdict(), callId, retryAfterMillis);
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("content-type", "application/problem+json"));
        headers.add(new Header(Headers.CALL_ID, callId));
        headers.add(new Header(Headers.VERDICT, reply.verdict().name()));
        headers.add(new Header(Headers.CODE, reply.refusal().name()));
        if (retryAfterMillis != null) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            headers.add(new Header("retry-after", Long.toString(seconds)));
        }
        return new HttpExchange.Response(
                reply.status(), headers, Json.write(refused).getBytes(StandardCharsets.UTF_8));
    }
}
