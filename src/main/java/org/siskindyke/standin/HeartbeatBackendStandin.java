package org.siskindyke.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskindyke.kernel.route.CallerLimits;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Headers;
import org.siskindyke.runtime.traffic.Cancellable;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.HttpListener;
import org.siskindyke.runtime.traffic.PooledHttpClient;
import org.siskindyke.runtime.traffic.TrafficLoop;

/**
 * Stand-in for a backend server of the users' platform: sends heartbeats to the router beside it, applies the grants in
 * the acknowledgements, and answers requests for keys that are granted to it. It breaks off the responses to requests
 * whose path has the segment {@code cut}. State is confined to the traffic loop;
 * {@code leave}, {@code stop} and {@code executedRequestIds} may be called on any thread.
 */
public final class HeartbeatBackendStandin {
    private static final int LATE_HEARTBEATS = 4;
    private static final long LATE_HEARTBEAT_INTERVAL_MILLIS = 1_400;
    private static final long DEREGISTRATION_RETRY_MILLIS = 100;
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;
    /** One of this many requests is refused, and one of this many first runs fails, while the server stutters. */
    private static final int REQUESTS_PER_REFUSED = 16;

    private static final int RUNS_PER_FAILED = 8;
    /** One of this many answers has an odd part of a given form. */
    private static final int ANSWERS_PER_ODD_FORM = 32;

    /** Parts of bodies that nearly hold another response. */
    private static final List<String> ODD_PARTS = List.of(
            "HTTP/1.1 200 OK\r\nnote:" + " ".repeat(4_000),
            "HTTP/1.1 200 OK\r\n".repeat(500),
            "HTTP/1.1 200 ".repeat(700),
            "HTTP/1.1 200 OK\r\n" + "a:b\r\n".repeat(1_800));

    /** One of this many later runs is answered as the run before while the server stutters. */
    private static final int RUNS_PER_SAME_STATUS = 4;

    private static final int SLOTS = 4;
    /** Timeout of an acknowledgement, as on the users' platform. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 1_000;
    /**
     * Delay between an acknowledgement that takes keys away and the heartbeat that reports them as released, as on the
     * users' platform.
     */
    private static final long RELEASE_REPORT_DELAY_MILLIS = 100;

    private static final String SIGNATURE = "X-Siskindyke-Response-Signature";
    /** Segment of the paths of requests that end the server, see {@link #crashOnRequest}. */
    private static final String CRASH = "/crash/";

    /** Segment of the paths of requests whose responses break off, while the server goes on. */
    private static final String CUT = "/cut/";

    private static final byte[] STRAY_RESPONSE =
            "HTTP/1.1 503 Busy\r\nX-Siskindyke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII);
    /** Short enough that the next request may be under way on the connection. */
    private static final long STRAY_DELAY_MILLIS = 3;

    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final Identity identity;
    private final PooledHttpClient router;
    private final ConcurrentLinkedQueue<String> executedRequestIds = new ConcurrentLinkedQueue<>();
    private final Listener listener;
    private final ConcurrentLinkedQueue<String> crashingRequestIds = new ConcurrentLinkedQueue<>();
    private long startMillis;
    private HttpListener callers;
    private volatile List<Header> announcements = List.of();
    private volatile long downMillis = -1;
    private volatile ResponseStart sentBeforeCrash = ResponseStart.NONE;
    private volatile boolean down;
    private final List<GrantedRange> grantedRanges = new ArrayList<>();
    private final List<GrantedRange> releasedRanges = new ArrayList<>();
    private final Set<GrantedRange> keptRanges = new HashSet<>();
    private long grantEndMillis;
    private long sequence;
    private boolean keepsReleasedKeys;
    private boolean namesRuns;
    private final Map<String, List<Integer>> statusesById = new HashMap<>();
    private final ResponseStutter stutter;
    private volatile boolean stutters;
    private final AtomicInteger running = new AtomicInteger();
    private volatile boolean strayResponses;
    private volatile boolean leaving;
    private volatile boolean stopped;
    private volatile long coldUntilMillis = Long.MIN_VALUE / 2;

    /**
     * Identity and settings of a backend server.
     *
     * @param name name of the backend server
     * @param service name of its service
     * @param failureDomain name of its failure domain
     * @param address address on which it accepts requests
     * @param routerAddress address on which the router beside it accepts heartbeats
     * @param divided whether it answers only requests for keys that are granted to it
     * @param heartbeatMillis interval of its heartbeats in milliseconds
     */
    public record Identity(
            String name,
            String service,
            String failureDomain,
            InetSocketAddress address,
            InetSocketAddress routerAddress,
            boolean divided,
            long heartbeatMillis) {}

    /**
     * A range of keys that is granted to the backend server.
     *
     * @param first the first key
     * @param last the last key, included
     * @param token the fencing token
     */
    public record GrantedRange(int first, int last, long token) {
        private boolean contains(int key) {
            return first <= key && key <= last;
        }
    }

    /** Receives events of the backend server, on the traffic loop. */
    public interface Listener {
        /** Ignores all events. */
        Listener NONE = new Listener() {};

        /**
         * Called when a request begins to run.
         *
         * @param requestId the id of the request
         * @param key its key; -1 where it has none
         * @param token the fencing token; -1 where none is granted
         * @param signature the signature that the response to this run, and to no other, bears
         */
        default void onRun(String requestId, int key, long token, String signature) {}

        /**
         * Called before the response to a run is written.
         *
         * @param requestId the id of the request
         * @param signature the signature of the run
         * @param status the status of the response
         * @param signed whether the response bears its signature
         */
        default void onResponse(String requestId, String signature, int status, boolean signed) {}

        /** Called when an acknowledgement replaces the granted ranges; they end at a time of the monotonic clock. */
        default void onGranted(List<GrantedRange> ranges, long grantEndMillis) {}

        /** Called when the backend server ends while it runs a request, see {@link #crashOnRequest}. */
        default void onCrash(String requestId) {}

        /** Called when the router has acknowledged a heartbeat that reports that the backend server is leaving. */
        default void onLeavingAcknowledged() {}
    }

    /** Creates a backend server with the fixed start time 1, which ignores all events and does not listen yet. */
    public HeartbeatBackendStandin(TrafficLoop traffic, MonotonicClock clock, Identity identity) {
        this(traffic, clock, identity, 1, Listener.NONE);
    }

    /** Creates a backend server that does not listen yet; its start time is in milliseconds since the epoch. */
    public HeartbeatBackendStandin(
            TrafficLoop traffic, MonotonicClock clock, Identity identity, long startMillis, Listener listener) {
        this.traffic = traffic;
        this.clock = clock;
        this.identity = identity;
        this.startMillis = startMillis;
        this.listener = listener;
        this.router = new PooledHttpClient(traffic, clock, identity.routerAddress());
        this.stutter = new ResponseStutter(
                traffic,
                (remote, bytes) -> callers.sendRaw(remote, bytes),
                identity.name().hashCode());
    }

    /**
     * Injects a protocol fault: reports keys as released to the router, but as kept without end to the listener. Must
     * be called before {@link #start}.
     */
    public void keepReleasedKeys() {
        keepsReleasedKeys = true;
    }

    /**
     * Adds the signature of its run to the body of each answer, and to some a part that looks like the start of another
     * response. Must be called before {@link #start}.
     */
    public void nameRunsInBodies() {
        namesRuns = true;
    }

    /** What a backend server sends of a response before it ends while it runs the request. */
    public enum ResponseStart {
        /** Nothing. */
        NONE(""),
        /** A part of the header section. */
        PART_OF_HEAD("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Siski"),
        /** The header section and a part of a body with a length. */
        PART_OF_BODY("HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n" + SIGNATURE + ": s\r\n\r\npart"),
        /** The header section and a part of a body in chunks. */
        PART_OF_CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + SIGNATURE + ": s\r\n\r\n4\r\npart\r\n"),
        /** The header section and a part of a body that would end with its connection. */
        PART_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\n" + SIGNATURE + ": s\r\n\r\npart");

        private final String text;

        ResponseStart(String text) {
            this.text = text;
        }

        private byte[] bytes() {
            return text.getBytes(StandardCharsets.US_ASCII);
        }
    }

    /**
     * Injects a fault: the server ends when it begins to run a request whose path has the segment {@code crash}, and
     * starts again, with a later start time and without keys, after {@code restartMillis}. Must be called before
     * {@link #start}.
     */
    public void crashOnRequest(long restartMillis) {
        crashOnRequest(restartMillis, ResponseStart.NONE);
    }

    /** Injects the fault above; the server sends a part of its response before it ends. */
    public void crashOnRequest(long restartMillis, ResponseStart sentBefore) {
        downMillis = restartMillis;
        sentBeforeCrash = sentBefore;
    }

    /** Starts to accept requests and to send heartbeats. Blocks until the address is bound. */
    public void start() {
        callers = new HttpListener(traffic, clock, () -> CallerLimits.DEFAULT, this::handle);
        callers.listen(identity.address());
        traffic.execute(this::heartbeatLoop);
    }

    private void crash(String requestId, InetSocketAddress caller) {
        if (down) {
            return;
        }
        crashingRequestIds.add(requestId);
        listener.onCrash(requestId);
        down = true;
        if (sentBeforeCrash == ResponseStart.NONE) {
            callers.abort();
        } else {
            callers.abortAmidResponse(caller, sentBeforeCrash.bytes());
        }
        forgetGrants();
        // Binding blocks, which the traffic loop must not.
        traffic.schedule(() -> CompletableFuture.runAsync(this::restart), downMillis);
    }

    private void forgetGrants() {
        grantedRanges.clear();
        releasedRanges.clear();
        grantEndMillis = 0;
        sequence = 0;
    }

    private void restart() {
        callers = new HttpListener(traffic, clock, () -> CallerLimits.DEFAULT, this::handle);
        callers.listen(identity.address());
        traffic.execute(() -> {
            startMillis++;
            down = false;
            sendHeartbeat();
        });
    }

    /** Lets the server report for a time, in milliseconds, that it is cold. May be called on any thread. */
    public void beCold(long millis) {
        coldUntilMillis = clock.nowMillis() + millis;
    }

    /** Injects a fault: resets all connections of callers, while the server goes on. */
    public void resetConnections() {
        traffic.execute(() -> callers.resetConnections());
    }

    /** Returns whether the server has ended and not started again. */
    public boolean isDown() {
        return down;
    }

    /** Returns the ids of the requests that ended the server, in order. */
    public List<String> crashingRequestIds() {
        return List.copyOf(crashingRequestIds);
    }

    /**
     * Injects a fault, or ends it: soon after each response, the server writes a refusal that names no request. May be
     * called on any thread.
     */
    public void writeStrayResponses(boolean enabled) {
        strayResponses = enabled;
    }

    /**
     * Injects a fault, or ends it: the server writes each response once more, late, some responses without their
     * signature or with {@code Connection: close} the first time. Some requests are refused, and later runs of a
     * request mostly end otherwise than the run before. May be called on any thread.
     */
    public void stutter(boolean enabled) {
        stutters = enabled;
    }

    /** Sends the router beside this server heartbeats as a faulty program may send them. */
    public void sendOddHeartbeats() {
        for (String odd : OddEntries.heartbeats(identity.service())) {
            byte[] body = odd.getBytes(StandardCharsets.UTF_8);
            router.call("POST", "/instances/i-odd/heartbeat", body, ACKNOWLEDGEMENT_TIMEOUT_MILLIS);
        }
    }

    /** Adds header fields to all responses from now on, in place of those added before. May be called on any thread. */
    public void announce(Header... fields) {
        announcements = List.of(fields);
    }

    /**
     * Reports the state {@code draining} from the next heartbeat on. Some heartbeats that were sent before arrive up to
     * seconds later. May be called on any thread.
     */
    public void leave() {
        traffic.execute(() -> {
            deliverLate(heartbeatsUnderWay());
            leaving = true;
        });
    }

    /**
     * Stops the heartbeats and deregisters the server, which goes on serving; repeats this until it is acknowledged.
     * Some heartbeats that were sent before arrive up to seconds later. May be called on any thread.
     */
    public void deregister() {
        traffic.execute(() -> {
            stopped = true;
            List<byte[]> underWay = heartbeatsUnderWay();
            sendDeregistration();
            deliverLate(underWay);
        });
    }

    private void sendDeregistration() {
        String path = "/instances/" + identity.name() + "/deregister";
        router.call("POST", path, new byte[0], ACKNOWLEDGEMENT_TIMEOUT_MILLIS).whenComplete((response, failure) -> {
            if (failure == null && response.status() == OK) {
                listener.onLeavingAcknowledged();
            } else {
                traffic.schedule(this::sendDeregistration, DEREGISTRATION_RETRY_MILLIS);
            }
        });
    }

    private List<byte[]> heartbeatsUnderWay() {
        return Stream.generate(this::heartbeat)
                .limit(LATE_HEARTBEATS)
                .map(heartbeat -> heartbeat.toString().getBytes(StandardCharsets.UTF_8))
                .toList();
    }

    /** Sends heartbeats one after the other; nobody waits for the replies. */
    private void deliverLate(List<byte[]> heartbeats) {
        long delayMillis = 0;
        for (byte[] body : heartbeats) {
            delayMillis += LATE_HEARTBEAT_INTERVAL_MILLIS;
            String path = "/instances/" + identity.name() + "/heartbeat";
            traffic.schedule(() -> router.call("POST", path, body, ACKNOWLEDGEMENT_TIMEOUT_MILLIS), delayMillis);
        }
    }

    /** Stops the heartbeats; the server goes on listening. */
    public void stop() {
        stopped = true;
    }

    /** Returns the ids of the requests that ran, in order. */
    public List<String> executedRequestIds() {
        return List.copyOf(executedRequestIds);
    }

    private void heartbeatLoop() {
        if (stopped) {
            return;
        }
        if (!down) {
            sendHeartbeat();
        }
        traffic.schedule(this::heartbeatLoop, identity.heartbeatMillis());
    }

    private void sendHeartbeat() {
        long sentMillis = clock.nowMillis();
        long sentStartMillis = startMillis;
        boolean reportedLeaving = leaving;
        dropLapsedRanges(sentMillis);
        List<GrantedRange> reportedReleases = List.copyOf(releasedRanges);
        byte[] body = heartbeat().toString().getBytes(StandardCharsets.UTF_8);
        router.call("POST", "/instances/" + identity.name() + "/heartbeat", body, ACKNOWLEDGEMENT_TIMEOUT_MILLIS)
                .whenComplete((response, failure) -> {
                    if (failure == null
                            && response.status() == OK
                            && !stopped
                            && !down
                            && startMillis == sentStartMillis) {
                        releasedRanges.removeAll(reportedReleases);
                        applyReply(response.body(), sentMillis);
                        if (reportedLeaving) {
                            listener.onLeavingAcknowledged();
                        }
                    }
                });
    }

    private void dropLapsedRanges(long nowMillis) {
        if (nowMillis >= grantEndMillis) {
            grantedRanges.clear();
        }
    }

    private ObjectNode heartbeat() {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("service", identity.service());
        node.put(
                "address",
                identity.address().getHostString() + ":" + identity.address().getPort());
        node.put("zone", identity.failureDomain()).put("version", "v1").put("slots", SLOTS);
        node.put("state", leaving ? "draining" : "ready")
                .put("cold_left_ms", Math.max(0, coldUntilMillis - clock.nowMillis()));
        node.put("seq_num", ++sequence).put("born", startMillis);
        ArrayNode holds = node.putArray("holds");
        grantedRanges.forEach(r -> holds.addArray().add(r.first()).add(r.last()).add(r.token()));
        // The stand-in has no handover data; it sends "h" and the token instead.
        ArrayNode released = node.putArray("freed");
        releasedRanges.forEach(
                r -> released.addArray().add(r.first()).add(r.last()).add("h" + r.token()));
        return node;
    }

    private void applyReply(byte[] body, long sentMillis) {
        JsonNode reply;
        try {
            reply = MAPPER.readTree(body);
        } catch (IOException e) {
            throw new IllegalStateException("acknowledgement is not JSON", e);
        }
        if (!reply.has("holds")) {
            return;
        }
        List<GrantedRange> newRanges = new ArrayList<>();
        reply.path("holds")
                .forEach(r -> newRanges.add(new GrantedRange(
                        r.get(0).asInt(), r.get(1).asInt(), r.get(2).asLong())));
        if (keepsReleasedKeys) {
            keptRanges.addAll(grantedRanges);
        }
        List<GrantedRange> newlyReleased = grantedRanges.stream()
                .filter(h -> newRanges.stream().noneMatch(g -> g.contains(h.first()) && g.contains(h.last())))
                .toList();
        releasedRanges.addAll(newlyReleased);
        grantedRanges.clear();
        grantedRanges.addAll(newRanges);
        grantEndMillis = sentMillis + reply.path("hold_ms").asLong();
        List<GrantedRange> servedRanges = new ArrayList<>(newRanges);
        servedRanges.addAll(keptRanges);
        listener.onGranted(servedRanges, keepsReleasedKeys ? Long.MAX_VALUE : grantEndMillis);
        if (!newlyReleased.isEmpty()) {
            traffic.schedule(this::sendHeartbeat, RELEASE_REPORT_DELAY_MILLIS);
        }
    }

    private Cancellable handle(HttpExchange.Request request, HttpExchange.Responder responder) {
        String id = Headers.firstIgnoringCase(request.headers(), "X-Siskindyke-Request-Id");
        String expected = Headers.firstIgnoringCase(request.headers(), "X-Siskindyke-Expected-Instance");
        String key = Headers.firstIgnoringCase(request.headers(), "X-Siskindyke-Shard-Key");
        List<Header> headers = new ArrayList<>(announcements);
        if (id != null) {
            headers.add(new Header("X-Siskindyke-Request-Id", id));
        }
        boolean misdirected = !identity.name().equals(expected) || identity.divided() && !isGranted(key);
        if (misdirected || stutters && stutter.drawsOnceIn(REQUESTS_PER_REFUSED)) {
            headers.add(new Header("X-Siskindyke-Not-Executed", "1"));
            int status = misdirected ? MISDIRECTED : TOO_MANY_REQUESTS;
            HttpExchange.Response refusal = new HttpExchange.Response(status, headers, new byte[0]);
            respond(request.remote(), refusal, stutter.drawForm(), responder);
            return Cancellable.NONE;
        }
        executedRequestIds.add(String.valueOf(id));
        int keyNumber = key == null ? -1 : Integer.parseInt(key);
        List<Integer> statuses = statusesById.computeIfAbsent(String.valueOf(id), any -> new ArrayList<>());
        int status = drawStatus(statuses);
        statuses.add(status);
        String signature = sign(String.valueOf(id), statuses.size());
        listener.onRun(String.valueOf(id), keyNumber, tokenOf(keyNumber), signature);
        if (downMillis >= 0 && request.target().contains(CRASH)) {
            traffic.schedule(() -> crash(String.valueOf(id), request.remote()), delayMillis(request.target()));
            return Cancellable.NONE;
        }
        if (request.target().contains(CUT)) {
            callers.closeAmidResponse(request.remote(), ResponseStart.PART_OF_BODY.bytes());
            return Cancellable.NONE;
        }
        headers.add(new Header(SIGNATURE, signature));
        byte[] body = answer(signature).getBytes(StandardCharsets.UTF_8);
        running.incrementAndGet();
        return traffic.schedule(
                () -> {
                    running.decrementAndGet();
                    ResponseStutter.Form form = stutter.drawForm();
                    boolean signed = !stutters || form != ResponseStutter.Form.AFTER_UNSIGNED;
                    listener.onResponse(String.valueOf(id), signature, status, signed);
                    respond(request.remote(), new HttpExchange.Response(status, headers, body), form, responder);
                    sendStrayResponse(request.remote());
                },
                delayMillis(request.target()));
    }

    private String answer(String signature) {
        if (!namesRuns) {
            return "answer of " + identity.name();
        }
        int form = Math.floorMod(signature.hashCode(), ANSWERS_PER_ODD_FORM * ODD_PARTS.size());
        boolean odd = form < ODD_PARTS.size() && !stutters;
        return "answer of " + identity.name() + (odd ? ODD_PARTS.get(form) : "") + " " + signature;
    }

    private void respond(
            InetSocketAddress caller,
            HttpExchange.Response response,
            ResponseStutter.Form form,
            HttpExchange.Responder responder) {
        if (stutters) {
            stutter.respond(caller, response, form, SIGNATURE, responder);
        } else {
            responder.respond(response);
        }
    }

    /** Returns the status of the next run of a request, given those of the runs before. */
    private int drawStatus(List<Integer> statuses) {
        if (!stutters) {
            return OK;
        }
        if (statuses.isEmpty()) {
            return stutter.drawsOnceIn(RUNS_PER_FAILED) ? SERVER_ERROR : OK;
        }
        int previous = statuses.get(statuses.size() - 1);
        int other = previous == OK ? SERVER_ERROR : OK;
        return stutter.drawsOnceIn(RUNS_PER_SAME_STATUS) ? previous : other;
    }

    /** Returns the signature of a run, which differs from those of all other runs. */
    private String sign(String requestId, int run) {
        return "s." + requestId + "." + identity.name() + "." + startMillis + "." + run;
    }

    private void sendStrayResponse(InetSocketAddress caller) {
        HttpListener listening = callers;
        if (strayResponses) {
            traffic.schedule(() -> listening.sendRaw(caller, STRAY_RESPONSE), STRAY_DELAY_MILLIS);
        }
    }

    /** Returns the number of requests that run; those that were cancelled count on. For any thread. */
    public int runningCount() {
        return running.get();
    }

    private boolean isGranted(String key) {
        return key != null && clock.nowMillis() < grantEndMillis && tokenOf(Integer.parseInt(key)) >= 0;
    }

    private long tokenOf(int key) {
        return grantedRanges.stream()
                .filter(range -> range.contains(key))
                .mapToLong(GrantedRange::token)
                .findFirst()
                .orElse(-1);
    }

    /** Returns the number at the end of a path, which is the duration of the request; 0 where there is none. */
    private static int delayMillis(String path) {
        String last = path.substring(path.lastIndexOf('/') + 1);
        return last.matches("\\d{1,5}") ? Integer.parseInt(last) : 0;
    }
}
