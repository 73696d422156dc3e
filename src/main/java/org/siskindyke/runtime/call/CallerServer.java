package org.siskindyke.runtime.call;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpService;
import io.servicetalk.http.api.HttpServiceContext;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.runtime.http.Json;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/** Serves callers' requests; each response carries a verdict. */
public final class CallerServer implements HttpService {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final CallReader reader;
    private final CallRouter router;
    private final Supplier<MemberServingState> state;
    private final CallMetrics metrics;

    /**
     * Creates the service.
     *
     * @param reader converts requests to calls
     * @param router routes calls
     * @param state returns the serving state of the current member
     * @param metrics records calls and refusals
     */
    public CallerServer(CallReader reader, CallRouter router, Supplier<MemberServingState> state, CallMetrics metrics) {
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
    public record Refused(Refusal code, Verdict verdict, String callId, Long retryAfterMillis) {}

    @Override
    public Single<HttpResponse> handle(HttpServiceContext context, HttpRequest request, HttpResponseFactory factory) {
        long startNanos = System.nanoTime();
        CallReader.Result result =
                reader.read(request, callerOf(context), state.get().view());
        if (result.call() == null) {
            metrics.onRefusedRequest(result.refusal());
            return Single.succeeded(refuse(factory, "-", Reply.notRun(result.refusal(), 0)));
        }
        Call call = result.call();
        return router.route(call, result.document())
                .onErrorReturn(failure -> Reply.mayHaveRun(Refusal.INTERNAL_ERROR))
                .map(reply -> {
                    metrics.onReply(call, reply, System.nanoTime() - startNanos);
                    return reply.isAnswer() ? answer(factory, call, reply) : refuse(factory, call.id(), reply);
                });
    }

    /** Returns the caller's address; a caller whose address has another form than the usual ones is unknown. */
    private static ClientAccount callerOf(HttpServiceContext context) {
        return context.remoteAddress() instanceof InetSocketAddress address
                        && !address.getHostString().contains("%")
                ? ClientAccount.of(address.getHostString())
                : ClientAccount.UNKNOWN;
    }

    private static HttpResponse answer(HttpResponseFactory factory, Call call, Reply reply) {
        HttpResponse response = factory.newResponse(HttpResponseStatus.of(reply.status(), ""));
        reply.headers().forEach(h -> response.headers().add(h.name(), h.value()));
        response.headers().set(Headers.CALL_ID, call.id());
        response.headers().set(Headers.VERDICT, reply.verdict().name());
        return response.payloadBody(DEFAULT_ALLOCATOR.wrap(reply.body()));
    }

    private static HttpResponse refuse(HttpResponseFactory factory, String callId, Reply reply) {
        Long retryAfterMillis = reply.retryAfterMillis() > 0 ? reply.retryAfterMillis() : null;
        HttpResponse response = Json.respond(
                factory,
                HttpResponseStatus.of(reply.status(), ""),
                new Refused(reply.refusal(), reply.verdict(), callId, retryAfterMillis));
        response.headers().set("content-type", "application/problem+json");
        response.headers().set(Headers.CALL_ID, callId);
        response.headers().set(Headers.VERDICT, reply.verdict().name());
        response.headers().set(Headers.CODE, reply.refusal().name());
        if (retryAfterMillis != null) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.headers().set("retry-after", Long.toString(seconds));
        }
        return response;
    }
}
