package org.siskindyke.runtime.traffic;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.siskindyke.RawHttpServer;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Headers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Sends requests over a pool to servers that write responses once more, late. */
class HttpClientPoolTest {
    private static final int MANY = 20;
    private static final long TIMEOUT_MILLIS = 10_000;

    private final TrafficLoop traffic = new TrafficLoop();
    private final Map<String, Integer> runs = new HashMap<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final List<String> events = new CopyOnWriteArrayList<>();
    private RawHttpServer server;

    @AfterTry
    void stop() {
        server.close();
        traffic.close();
    }

    /** Responses name their request in the field {@code Id}. */
    private static final class TestDialect implements ResponseDialect {
        @Override
        public String answeredRequestId(List<Header> headers) {
            return Headers.firstIgnoringCase(headers, "Id");
        }

        @Override
        public boolean isNotRun(int status, List<Header> headers) {
            return false;
        }

        @Override
        public boolean isGenuine(int status, List<Header> headers) {
            return true;
        }
    }

    /** Writes the previous response once more ahead of each response; a body is the number of the run. */
    private final class Stutter implements RawHttpServer.Script {
        private String previous = "";

        private Stutter() {
            connections.incrementAndGet();
        }

        @Override
        public String respond(String id) {
            String copy = previous;
            previous = response(id);
            return copy + previous;
        }

        private String response(String id) {
            String body = Integer.toString(runs.merge(id, 1, Integer::sum));
            return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: 1\r\nContent-Length: " + body.length() + "\r\n\r\n"
                    + body;
        }
    }

    private HttpClientPool newPool(int maxConnections) throws IOException {
        server = new RawHttpServer(Stutter::new);
        return new HttpClientPool(
                traffic,
                SystemMonotonicClock.INSTANCE,
                server.address(),
                maxConnections,
                new TestDialect(),
                new ConnectionObserver() {
                    @Override
                    public void onConnectionsPassedOver(String requestId, int passedOver) {
                        events.add(requestId + " passed over " + passedOver);
                    }
                });
    }

    /** Sends a request and returns the body of its response, or why there is none. */
    private String send(HttpClientPool pool, String id) throws InterruptedException, TimeoutException {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        traffic.execute(() -> pool.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/") {
                    {
                        headers().set("Id", id);
                    }
                },
                id,
                new HttpClientPool.ResponseListener() {
                    @Override
                    public void onResponse(int status, List<Header> headers, byte[] body, boolean endedByClose) {
                        outcome.complete(new String(body, StandardCharsets.US_ASCII));
                    }

                    @Override
                    public void onLost(ResponseLoss loss, String cause) {
                        outcome.complete(loss + ": " + cause);
                    }
                }));
        try {
            return outcome.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against a late copy of the response of one run that is taken for the response of a later run. */
    @Example
    void eachRunOfARequestGetsTheResponseOfThatRun() throws Exception {
        HttpClientPool pool = newPool(MANY);
        for (int run = 1; run <= 5; run++) {
            assertEquals(Integer.toString(run), send(pool, "a"));
        }
        assertEquals(List.of("a passed over 1", "a passed over 2", "a passed over 3", "a passed over 4"), events);
    }

    /** A connection that is passed over for one request is reused for others. */
    @Example
    void aRequestThatCameAgainCostsOneConnection() throws Exception {
        HttpClientPool pool = newPool(MANY);
        for (String id : List.of("a", "a", "b", "c", "d")) {
            send(pool, id);
        }
        assertTrue(connections.get() <= 3, connections::toString);
    }

    /** Guards against a request that cannot be sent again since all connections have carried it. */
    @Example
    void aRequestThatAllConnectionsHaveCarriedIsSentBesideAFullPool() throws Exception {
        HttpClientPool pool = newPool(1);
        for (int run = 1; run <= 5; run++) {
            assertEquals(Integer.toString(run), send(pool, "a"));
        }
    }

    /** Guards against a late copy that arrives after the connection has rested and carried other requests. */
    @Example
    void aCopyIsNotTakenForAResponseThoughOtherRequestsCameBetween() throws Exception {
        HttpClientPool pool = newPool(1);
        assertEquals("1", send(pool, "a"));
        assertEquals("1", send(pool, "b"));
        assertEquals("2", send(pool, "a"));
        assertEquals("2", send(pool, "b"));
    }
}
