package org.siskindyke.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

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
 * Stands in for a backend server of the users' platform: sends heartbeats to the router beside it, holds what their
 * acknowledgements say, and answers requests whose keys it holds. All state belongs to the traffic loop.
 */
public final class HeartbeatBackendStandin {
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int SLOTS = 4;
    /** How long an acknowledgement may take, as at the users' platform. */
    private static final long ANSWER_MILLIS = 1_000;
    /** When the next heartbeat follows an acknowledgement that left keys out, as at the users' platform. */
    private static final long RELEASE_MILLIS = 100;

    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final Identity identity;
    private final PooledHttpClient router;
    private final ConcurrentLinkedQueue<String> ran = new ConcurrentLinkedQueue<>();
    private final Listener listener;
    private final long bornMillis;
    private final List<GrantedRange> held = new ArrayList<>();
    private final List<GrantedRange> freed = new ArrayList<>();
    private final Set<GrantedRange> hidden = new HashSet<>();
    private long holdEndMillis;
    private long sequence;
    private boolean hidesKeys;
    private volatile boolean leaving;
    private volatile boolean stopped;

    /**
     * What a backend server is.
     *
     * @param name its name
     * @param service its service
     * @param domain its failure domain
     * @param address where it takes requests
     * @param heartbeats the address of the router beside it for heartbeats
     * @param divided whether it answers only requests whose keys it holds
     * @param heartbeatMillis interval of its heartbeats
     */
    public record Identity(
            String name,
            String service,
            String domain,
            InetSocketAddress address,
            InetSocketAddress heartbeats,
            boolean divided,
            long heartbeatMillis) {}

    /**
     * Keys that the backend server holds.
     *
     * @param first the first key
     * @param last the last key
     * @param token the fencing token
     */
    public record GrantedRange(int first, int last, long token) {
        private boolean contains(int key) {
            return first <= key && key <= last;
        }
    }

    /** Learns what the backend server does, on the traffic loop. */
    public interface Listener {
        /** Ignores everything. */
        Listener NONE = new Listener() {};

        /** A request begins to run; the token is -1 where the service is not divided. */
        default void onRun(String requestId, int key, long token) {}

        /** An acknowledgement has said what to hold, until a moment of the clock. */
        default void onGranted(List<GrantedRange> rows, long untilMillis) {}

        /** The router has acknowledged that the backend server leaves. */
        default void onLeavingAcknowledged() {}
    }

    /** Creates a backend server that does not listen yet, and whose life began at once. */
    public HeartbeatBackendStandin(TrafficLoop traffic, MonotonicClock clock, Identity identity) {
        this(traffic, clock, identity, 1, Listener.NONE);
    }

    /** Creates a backend server that does not listen yet. */
    public HeartbeatBackendStandin(
            TrafficLoop traffic, MonotonicClock clock, Identity identity, long bornMillis, Listener listener) {
        this.traffic = traffic;
        this.clock = clock;
        this.identity = identity;
        this.bornMillis = bornMillis;
        this.listener = listener;
        this.router = new PooledHttpClient(traffic, clock, identity.heartbeats());
    }

    /** Breaks the protocol on purpose: says that it has released keys, and goes on holding them. */
    public void keepReleasedKeys() {
        hidesKeys = true;
    }

    /** Starts to listen and to send heartbeats. */
    public void start() {
        new HttpListener(traffic, clock, () -> CallerLimits.DEFAULT, this::handle).listen(identity.address());
        traffic.execute(this::beat);
    }

    /** Says from the next heartbeat on that it is about to end. */
    public void leave() {
        leaving = true;
    }

    /** Sends no more heartbeats. */
    public void stop() {
        stopped = true;
    }

    /** Returns the ids of the requests that it ran, in order. */
    public List<String> ran() {
        return List.copyOf(ran);
    }

    private void beat() {
        if (stopped) {
            return;
        }
        send();
        traffic.schedule(this::beat, identity.heartbeatMillis());
    }

    private void send() {
        long sentMillis = clock.nowMillis();
        boolean saysLeaving = leaving;
        dropLapsed(sentMillis);
        List<GrantedRange> reported = List.copyOf(freed);
        byte[] body = heartbeat().toString().getBytes(StandardCharsets.UTF_8);
        router.call("POST", "/instances/" + identity.name() + "/heartbeat", body, ANSWER_MILLIS)
                .whenComplete((response, failure) -> {
                    if (failure == null && response.status() == OK && !stopped) {
                        freed.removeAll(reported);
                        take(response.body(), sentMillis);
                        if (saysLeaving) {
                            listener.onLeavingAcknowledged();
                        }
                    }
                });
    }

    private void dropLapsed(long nowMillis) {
        if (nowMillis >= holdEndMillis) {
            held.clear();
        }
    }

    private ObjectNode heartbeat() {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("service", identity.service());
        node.put(
                "address",
                identity.address().getHostString() + ":" + identity.address().getPort());
        node.put("zone", identity.domain()).put("version", "v1").put("slots", SLOTS);
        node.put("state", leaving ? "draining" : "ready").put("cold_left_ms", 0);
        node.put("seq_num", ++sequence).put("born", bornMillis);
        ArrayNode holds = node.putArray("holds");
        held.forEach(r -> holds.addArray().add(r.first()).add(r.last()).add(r.token()));
        ArrayNode released = node.putArray("freed");
        freed.forEach(r -> released.addArray().add(r.first()).add(r.last()).add("h" + r.token()));
        return node;
    }

    private void take(byte[] body, long sentMillis) {
        JsonNode reply;
        try {
            reply = MAPPER.readTree(body);
        } catch (IOException e) {
            throw new IllegalStateException("acknowledgement is not JSON", e);
        }
        if (!reply.has("holds")) {
            return;
        }
        List<GrantedRange> granted = new ArrayList<>();
        reply.path("holds")
                .forEach(r -> granted.add(
                        new GrantedRange(r.get(0).asInt(), r.get(1).asInt(), r.get(2).asLong())));
        if (hidesKeys) {
            hidden.addAll(held);
        }
        List<GrantedRange> left = held.stream()
                .filter(h -> granted.stream().noneMatch(g -> g.contains(h.first()) && g.contains(h.last())))
                .toList();
        freed.addAll(left);
        held.clear();
        held.addAll(granted);
        holdEndMillis = sentMillis + reply.path("hold_ms").asLong();
        List<GrantedRange> all = new ArrayList<>(granted);
        all.addAll(hidden);
        listener.onGranted(all, hidesKeys ? Long.MAX_VALUE : holdEndMillis);
        if (!left.isEmpty()) {
            traffic.schedule(this::send, RELEASE_MILLIS);
        }
    }

    private Cancellable handle(HttpExchange.Request request, HttpExchange.Responder responder) {
        String id = Headers.firstIgnoringCase(request.headers(), "X-Siskindyke-Request-Id");
        String expected = Headers.firstIgnoringCase(request.headers(), "X-Siskindyke-Expected-Instance");
        String key = Headers.firstIgnoringCase(request.headers(), "X-Siskindyke-Shard-Key");
        List<Header> headers = new ArrayList<>();
        if (id != null) {
            headers.add(new Header("X-Siskindyke-Request-Id", id));
        }
        if (!identity.name().equals(expected) || identity.divided() && !holds(key)) {
            headers.add(new Header("X-Siskindyke-Not-Executed", "1"));
            responder.respond(new HttpExchange.Response(MISDIRECTED, headers, new byte[0]));
            return Cancellable.NONE;
        }
        ran.add(String.valueOf(id));
        int number = key == null ? -1 : Integer.parseInt(key);
        listener.onRun(String.valueOf(id), number, tokenOf(number));
        headers.add(new Header("X-Siskindyke-Response-Signature", "s." + id));
        byte[] body = ("answer of " + identity.name()).getBytes(StandardCharsets.UTF_8);
        int delayMillis = delayMillis(request.target());
        Cancellable timer =
                traffic.schedule(() -> responder.respond(new HttpExchange.Response(OK, headers, body)), delayMillis);
        return timer;
    }

    private boolean holds(String key) {
        return key != null && clock.nowMillis() < holdEndMillis && tokenOf(Integer.parseInt(key)) >= 0;
    }

    private long tokenOf(int key) {
        return held.stream()
                .filter(row -> row.contains(key))
                .mapToLong(GrantedRange::token)
                .findFirst()
                .orElse(-1);
    }

    /** Returns the number that ends a path, which is how long the request takes; 0 where there is none. */
    private static int delayMillis(String path) {
        String last = path.substring(path.lastIndexOf('/') + 1);
        return last.matches("\\d{1,5}") ? Integer.parseInt(last) : 0;
    }
}
