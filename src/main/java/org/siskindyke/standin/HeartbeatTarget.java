package org.siskindyke.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
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
import org.siskindyke.runtime.traffic.HttpCaller;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.HttpListener;
import org.siskindyke.runtime.traffic.TrafficLoop;

/**
 * Stands in for a backend server of the users' platform: sends heartbeats to the router beside it, holds what their
 * acknowledgements say, and answers requests whose keys it holds. All state belongs to the traffic loop.
 */
public final class HeartbeatTarget {
    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final Identity identity;
    private final HttpCaller router;
    private final ConcurrentLinkedQueue<String> ran = new ConcurrentLinkedQueue<>();
    private final List<long[]> held = new ArrayList<>();
    private long holdEndMillis;
    private long sequence;
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

    /** Creates a backend server that does not listen yet. */
    public HeartbeatTarget(TrafficLoop traffic, MonotonicClock clock, Identity identity) {
        this.traffic = traffic;
        this.clock = clock;
        this.identity = identity;
        this.router = new HttpCaller(traffic, clock, identity.heartbeats());
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
        long sentMillis = clock.nowMillis();
        byte[] body = heartbeat().toString().getBytes(StandardCharsets.UTF_8);
        router.call("POST", "/instances/" + identity.name() + "/heartbeat", body, identity.heartbeatMillis())
                .whenComplete((response, failure) -> {
                    if (failure == null && response.status() == OK) {
                        take(response.body(), sentMillis);
                    }
                });
        traffic.schedule(this::beat, identity.heartbeatMillis());
    }

    private ObjectNode heartbeat() {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("service", identity.service());
        node.put(
                "address",
                identity.address().getHostString() + ":" + identity.address().getPort());
        node.put("zone", identity.domain()).put("version", "v1").put("slots", 4);
        node.put("state", leaving ? "draining" : "ready").put("cold_left_ms", 0);
        node.put("seq_num", ++sequence).put("born", 1);
        ArrayNode holds = node.putArray("holds");
        held.forEach(r -> holds.addArray().add(r[0]).add(r[1]).add(r[2]));
        node.putArray("freed");
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
        held.clear();
        reply.path("holds")
                .forEach(r -> held.add(new long[] {
                    r.get(0).asLong(), r.get(1).asLong(), r.get(2).asLong()
                }));
        holdEndMillis = sentMillis + reply.path("hold_ms").asLong();
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
        headers.add(new Header("X-Siskindyke-Response-Signature", "s." + id));
        byte[] body = ("answer of " + identity.name()).getBytes(StandardCharsets.UTF_8);
        int delayMillis = delayMillis(request.target());
        Cancellable timer =
                traffic.schedule(() -> responder.respond(new HttpExchange.Response(OK, headers, body)), delayMillis);
        return timer;
    }

    private boolean holds(String key) {
        if (key == null || clock.nowMillis() >= holdEndMillis) {
            return false;
        }
        long number = Long.parseLong(key);
        return held.stream().anyMatch(r -> r[0] <= number && number <= r[1]);
    }

    /** Returns the number that ends a path, which is how long the request takes; 0 where there is none. */
    private static int delayMillis(String path) {
        String last = path.substring(path.lastIndexOf('/') + 1);
        return last.matches("\\d{1,5}") ? Integer.parseInt(last) : 0;
    }
}
