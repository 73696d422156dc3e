package org.siskindyke.standin;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.servicetalk.concurrent.api.Executors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpService;
import io.servicetalk.http.api.HttpServiceContext;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.call.Headers;
import org.siskindyke.runtime.http.Http;
import org.siskindyke.runtime.http.Json;

/**
 * A stand-in for a backend server. It answers each call with the call's key and path and its own name, so that callers
 * can check the answer, and appends each executed call to a ledger. A grant ends at the time in {@link
 * Headers#GRANT_END}, the end of the lease of the member that sends the call. Requests for {@code /faults}, {@code
 * /drain} and {@code /stats} control the stand-in.
 */
public final class BackendStandin implements HttpService, AutoCloseable {
    private static final int CRASH_EXIT_CODE = 70;
    private static final String CRASH_MARK = "crash-mark";

    private final String name;
    private final int slots;
    private final boolean checksGrants;
    private final Ledger ledger;
    private final HttpServerContext server;
    private final Map<String, AtomicLong> grantEndMillis = new ConcurrentHashMap<>();
    private final Map<String, Long> generations = new ConcurrentHashMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger maxRunning = new AtomicInteger();
    private final AtomicLong executed = new AtomicLong();
    private final AtomicLong fenced = new AtomicLong();
    private volatile BackendFaults faults;
    private volatile Runnable onDrain = () -> {};

    /**
     * Starts the stand-in.
     *
     * @param name target name of the backend server
     * @param host address to bind
     * @param port TCP port; 0 for any free one
     * @param slots calls that may run at a time; further calls are refused
     * @param checksGrants whether calls without a valid grant of their member are refused, and running ones ended
     * @param faults initial faults and properties
     * @param ledger receives executed calls
     */
    public BackendStandin(
            String name, String host, int port, int slots, boolean checksGrants, BackendFaults faults, Ledger ledger) {
        this.name = name;
        this.slots = slots;
        this.checksGrants = checksGrants;
        this.faults = faults;
        this.ledger = ledger;
        this.server = Http.serve(host, port, Http.Protocol.HTTP_1_1, this);
    }

    /**
     * Counts since the start.
     *
     * @param executed calls that ran, including those that were ended early
     * @param fenced calls that were refused for lack of a grant, for an outdated generation or by {@link
     *     BackendFaults#refuse}; not those refused because all slots were in use
     * @param running calls that run now
     * @param mostRunning the highest number of calls that ran at a time
     */
    public record Stats(long executed, long fenced, int running, int mostRunning) {}

    /**
     * The body of an answer.
     *
     * @param target name of the backend server
     * @param callId id of the call; null if it has none
     * @param path path and query of the request
     * @param key the key of the request; null for an undivided service
     * @param bodyLength length of the request's body in bytes
     */
    public record Answer(String target, String callId, String path, String key, int bodyLength) {}

    /** Sets the action to run on a drain request. */
    public void setOnDrain(Runnable action) {
        onDrain = action;
    }

    /** Returns the TCP port on which the stand-in listens. */
    public int port() {
        return Http.portOf(server);
    }

    /** Returns the counts since the start. */
    public Stats stats() {
        return new Stats(executed.get(), fenced.get(), running.get(), maxRunning.get());
    }

    @Override
    public Single<HttpResponse> handle(HttpServiceContext context, HttpRequest request, HttpResponseFactory factory) {
        return Single.defer(() -> route(context, request, factory))
                .onErrorReturn(failure -> Json.problem(factory, failure));
    }

    private Single<HttpResponse> route(HttpServiceContext context, HttpRequest request, HttpResponseFactory factory) {
        return switch (request.path()) {
            case "/siskindyke/grant" -> {
                extendGrant(request);
                yield Single.succeeded(factory.noContent());
            }
            case "/faults" -> {
                faults = Json.read(request.payloadBody(), BackendFaults.class);
                yield Single.succeeded(Json.respond(factory, HttpResponseStatus.OK, faults));
            }
            case "/drain" -> {
                onDrain.run();
                yield Single.succeeded(factory.noContent());
            }
            case "/stats" -> Single.succeeded(Json.respond(factory, HttpResponseStatus.OK, stats()));
            default -> call(context, request, factory);
        };
    }

    private void extendGrant(HttpRequest request) {
        String member = header(request, Headers.MEMBER);
        String end = header(request, Headers.GRANT_END);
        if (member != null && end != null) {
            grantEndMillis
                    .computeIfAbsent(member, m -> new AtomicLong(Long.MIN_VALUE))
                    .accumulateAndGet(Long.parseLong(end), Math::max);
        }
    }

    private Single<HttpResponse> call(HttpServiceContext context, HttpRequest request, HttpResponseFactory factory) {
        BackendFaults activeFaults = faults;
        if (activeFaults.crashOnMark() && request.requestTarget().contains(CRASH_MARK)) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        extendGrant(request);
        if (activeFaults.refuse() || !isGranted(request)) {
            fenced.incrementAndGet();
            return Single.succeeded(refuse(factory));
        }
        int runningNow = running.incrementAndGet();
        if (runningNow > slots) {
            running.decrementAndGet();
            return Single.succeeded(refuse(factory));
        }
        maxRunning.accumulateAndGet(runningNow, Math::max);
        Execution execution = new Execution(request);
        return execution
                .run(activeFaults)
                .flatMap(completed -> respond(context, request, factory, activeFaults, completed));
    }

    private static HttpResponse refuse(HttpResponseFactory factory) {
        HttpResponse response = factory.newResponse(HttpResponseStatus.SERVICE_UNAVAILABLE);
        response.headers().set(Headers.NOT_RUN, "true");
        return response;
    }

    private Single<HttpResponse> respond(
            HttpServiceContext context,
            HttpRequest request,
            HttpResponseFactory factory,
            BackendFaults activeFaults,
            boolean completed) {
        if (!completed || activeFaults.cutAnswers()) {
            context.closeAsync().subscribe();
            return Single.never();
        }
        String callId = header(request, Headers.CALL_ID);
        HttpResponse response = Json.respond(
                factory,
                HttpResponseStatus.OK,
                new Answer(
                        name,
                        callId,
                        request.requestTarget(),
                        header(request, Headers.KEY),
                        request.payloadBody().readableBytes()));
        if (callId != null) {
            response.headers().set(Headers.CALL_ID, activeFaults.wrongCallIds() ? callId + "x" : callId);
        }
        return Single.succeeded(response);
    }

    /** Returns whether the member's grant is valid and no newer generation has been seen for the key. */
    private boolean isGranted(HttpRequest request) {
        if (!checksGrants) {
            return true;
        }
        String member = header(request, Headers.MEMBER);
        if (member == null || !hasActiveGrant(member)) {
            return false;
        }
        String key = header(request, Headers.KEY);
        if (key == null) {
            return true;
        }
        long generation = Long.parseLong(header(request, Headers.GENERATION));
        return generations.merge(key, generation, Math::max) == generation;
    }

    private boolean hasActiveGrant(String member) {
        AtomicLong end = grantEndMillis.get(member);
        return end != null && SystemMonotonicClock.INSTANCE.nowMillis() < end.get();
    }

    private static String header(HttpRequest request, String name) {
        CharSequence value = request.headers().get(name);
        return value == null ? null : value.toString();
    }

    @Override
    public void close() {
        server.closeAsync().subscribe();
        ledger.close();
    }

    /** A running call. A server that checks grants ends it without effect when the grant ends. */
    private final class Execution {
        private static final long CHECK_INTERVAL_MILLIS = 20;

        private final String member;
        private final String callId;
        private final String idempotencyKey;
        private final String method;
        private final String key;
        private final long generation;
        private final long beginNanos = System.nanoTime();
        private final AtomicBoolean finished = new AtomicBoolean();

        private Execution(HttpRequest request) {
            this.member = header(request, Headers.MEMBER);
            this.callId = header(request, Headers.CALL_ID);
            this.idempotencyKey = header(request, Headers.IDEMPOTENCY_KEY);
            this.method = request.method().name();
            this.key = header(request, Headers.KEY);
            String text = header(request, Headers.GENERATION);
            this.generation = text == null ? 0 : Long.parseLong(text);
        }

        private Single<Boolean> run(BackendFaults activeFaults) {
            if (activeFaults.workMillis() == 0) {
                return Single.succeeded(finish(true));
            }
            return runUntil(beginNanos
                            + Duration.ofMillis(activeFaults.workMillis()).toNanos())
                    .beforeCancel(() -> finish(false));
        }

        private Single<Boolean> runUntil(long endNanos) {
            return Single.defer(() -> {
                long remainingNanos = endNanos - System.nanoTime();
                if (checksGrants && !hasActiveGrant(member)) {
                    return Single.succeeded(finish(false));
                }
                if (remainingNanos <= 0) {
                    return Single.succeeded(finish(true));
                }
                long stepNanos = Math.min(
                        remainingNanos, Duration.ofMillis(CHECK_INTERVAL_MILLIS).toNanos());
                return Executors.global().timer(Duration.ofNanos(stepNanos)).concat(runUntil(endNanos));
            });
        }

        private boolean finish(boolean completed) {
            if (!finished.compareAndSet(false, true)) {
                return false;
            }
            running.decrementAndGet();
            executed.incrementAndGet();
            ledger.append(new Ledger.Entry(
                    name,
                    callId,
                    idempotencyKey,
                    method,
                    key,
                    member,
                    generation,
                    beginNanos,
                    System.nanoTime(),
                    completed));
            return completed;
        }
    }
}
