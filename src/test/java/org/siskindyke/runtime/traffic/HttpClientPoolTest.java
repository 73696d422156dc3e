package org.siskindyke.runtime.traffic;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.siskindyke.RawHttpServer;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Headers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Sends requests over a pool to servers that write responses once more, late. */
class HttpClientPoolTest {
    private static final int MANY = 20;
    private static final int REQUESTS = 40;
    private static final long TIMEOUT_MILLIS = 10_000;

    private TrafficLoop traffic;
    private final Map<String, Integer> runs = new HashMap<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final List<String> events = new CopyOnWriteArrayList<>();
    private RawHttpServer server;

    @BeforeTry
    void start() {
        traffic = new TrafficLoop();
        runs.clear();
    }

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
        public Header requestIdField(String requestId) {
            return new Header("Id", requestId);
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

    /** Writes the previous response once more ahead of each response, which names the run. */
    private final class Stutter implements RawHttpServer.Script {
        private String previous = "";

        private Stutter() {
            connections.incrementAndGet();
        }

        @Override
        public List<String> respond(RawHttpServer.Request request) {
            String copy = previous;
            previous = response(request.id());
            return List.of(copy, previous);
        }

        private String response(String id) {
            String body = Integer.toString(runs.merge(id, 1, Integer::sum));
            return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nRun: " + body + "\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body;
        }
    }

    private HttpClientPool newPool(int maxConnections) throws IOException {
        server = new RawHttpServer(Stutter::new);
        return newPool(server, maxConnections);
    }

    private HttpClientPool newPool(RawHttpServer server, int maxConnections) {
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

    private String send(HttpClientPool pool, String id) throws InterruptedException, TimeoutException {
        return send(pool, id, HttpMethod.GET, "/");
    }

    /** Sends a request and returns the number of the run that its response names, or why there is none. */
    private String send(HttpClientPool pool, String id, HttpMethod method, String path)
            throws InterruptedException, TimeoutException {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path);
        request.headers().set("Id", id);
        CompletableFuture<String> outcome = new CompletableFuture<>();
        traffic.execute(() -> pool.send(request, id, new HttpClientPool.ResponseListener() {
            @Override
            public void onResponse(int status, List<Header> headers, byte[] body, boolean endedByClose) {
                outcome.complete(Headers.firstIgnoringCase(headers, "Run"));
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

    /** Guards against a busy server that is taken for one that refuses connections. */
    @Example
    void aRequestThatFindsAllConnectionsInUseIsLostForThatReason() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        server = new RawHttpServer(() -> request -> {
            awaitEnd(ended);
            return List.of();
        });
        HttpClientPool pool = newPool(server, 1);
        traffic.execute(() -> pool.send(
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), "a", new IgnoredResponse()));
        assertEquals("NO_CONNECTION_FREE: all connections are in use", send(pool, "b"));
        ended.countDown();
    }

    private static void awaitEnd(CountDownLatch ended) {
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static final class IgnoredResponse implements HttpClientPool.ResponseListener {
        @Override
        public void onResponse(int status, List<Header> headers, byte[] body, boolean endedByClose) {}

        @Override
        public void onLost(ResponseLoss loss, String cause) {}
    }

    /** Writes copies of any earlier responses on the connection, in any form, ahead of each response. */
    private final class RandomStutter implements RawHttpServer.Script {
        private final Random random;
        private final List<String> earlier = new ArrayList<>();

        private RandomStutter(long seed) {
            random = new Random(seed + connections.incrementAndGet());
        }

        @Override
        public List<String> respond(RawHttpServer.Request request) {
            List<String> pieces = new ArrayList<>();
            for (int i = earlier.isEmpty() ? 0 : random.nextInt(3); i > 0; i--) {
                addPieces(pieces, earlier.get(random.nextInt(earlier.size())));
            }
            if (random.nextInt(4) == 0) {
                pieces.add("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
            }
            String response = response(request);
            earlier.add(response);
            addPieces(pieces, response);
            if (random.nextInt(8) == 0) {
                addPieces(pieces, response);
            }
            return pieces;
        }

        private void addPieces(List<String> pieces, String text) {
            int cut = random.nextInt(text.length());
            pieces.add(text.substring(0, cut));
            pieces.add(text.substring(cut));
        }

        private String response(RawHttpServer.Request request) {
            String body = request.path().substring(1);
            String status = List.of("200 OK", "500 Error", "421 Other", "429 Many", "503 Busy")
                    .get(random.nextInt(5));
            String close = random.nextInt(6) == 0 ? "Connection: close\r\n" : "";
            return "HTTP/1.1 " + status + "\r\nId: " + request.id() + "\r\nRun: " + body + "\r\n" + close
                    + "Content-Length: " + body.length() + "\r\n\r\n"
                    + (request.method().equals("HEAD") ? "" : body);
        }
    }

    /**
     * Guards against a late copy that is taken for the response of a later run, whatever its form, and whichever
     * requests came between. The server names the request that it answers by its path, since it may run a request that
     * was given up later than the next one, or not at all.
     */
    @Property(tries = 60, seed = "45")
    void noRunGetsTheResponseOfAnotherWhateverCopiesTheServerWrites(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        server = new RawHttpServer(() -> new RandomStutter(seed));
        HttpClientPool pool = newPool(server, 1 + random.nextInt(4));
        Map<String, Integer> sent = new HashMap<>();
        int answered = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r" + random.nextInt(4);
            HttpMethod method = random.nextInt(10) == 0 ? HttpMethod.HEAD : HttpMethod.GET;
            sent.merge(id, 1, Integer::sum);
            String outcome = send(pool, id, method, "/" + sent.get(id));
            boolean lost = outcome.startsWith("BAD_RESPONSE") || outcome.startsWith("CONNECTION_LOST");
            answered += lost ? 0 : 1;
            assertTrue(lost || outcome.equals(sent.get(id).toString()), () -> outcome + " for run " + sent.get(id));
        }
        assertTrue(answered > REQUESTS / 2, "few requests were answered");
    }
}
