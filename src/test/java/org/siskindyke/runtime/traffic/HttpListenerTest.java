package org.siskindyke.runtime.traffic;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.epoll.Epoll;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.siskindyke.kernel.route.CallerLimits;
import org.siskindyke.kernel.time.MonotonicClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against the failures of a server that handles one request at a time on a connection: pipelined requests wait,
 * and the work goes on after a caller has closed its connection. Also tests malformed requests, requests of
 * ambiguous length and header sections that are too large.
 */
class HttpListenerTest {
    private static final int WAIT_SECONDS = 10;
    private static final int SEEDS = 50;
    private static final int MAX_PIPELINED = 8;
    private static final int FIRST_STATUS = 400;
    /** More than sockets hold. */
    private static final int UNREAD_BYTES = 16 << 20;

    /** Status of the response to a request that was given up. */
    private static final String GIVEN_UP = "502";

    /** Rounds of the event loop after which it has read the bytes that lie in the socket. */
    private static final int LOOP_ROUNDS = 4;

    private static final CallerLimits LARGE_BODIES = new CallerLimits(16_384, 64L << 20, 3_000, 15_000);

    /** Time by which the loop is always behind. */
    private final AtomicLong lateMillis = new AtomicLong();

    private TrafficLoop traffic = new TrafficLoop();
    private final LinkedBlockingQueue<HttpExchange.Responder> started = new LinkedBlockingQueue<>();
    private final CountDownLatch cancelled = new CountDownLatch(1);
    private CallerLimits limits = CallerLimits.DEFAULT;
    private MonotonicClock clock = () -> System.nanoTime() / 1_000_000;
    private int port;
    private HttpListener listener;

    private Socket connect() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        listener = new HttpListener(traffic, clock, () -> limits, (request, responder) -> {
            started.add(responder);
            return new Cancellable() {
                @Override
                public void cancel() {
                    cancelled.countDown();
                }

                @Override
                public void giveUp() {
                    responder.respond(HttpExchange.Response.empty(Integer.parseInt(GIVEN_UP)));
                }
            };
        });
        listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        return socket;
    }

    @AfterTry
    void closeLoop() {
        traffic.close();
    }

    private void runOnLoop(Runnable action) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        traffic.execute(() -> {
            action.run();
            done.countDown();
        });
        assertTrue(done.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    @Example
    void pipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
            HttpExchange.Responder first = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            HttpExchange.Responder second = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(second);
            traffic.execute(() -> second.respond(HttpExchange.Response.empty(202)));
            traffic.execute(() -> first.respond(HttpExchange.Response.empty(201)));
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            List<String> statuses = new ArrayList<>();
            while (statuses.size() < 2) {
                String line = reader.readLine();
                if (line.startsWith("HTTP/1.1")) {
                    statuses.add(line.substring(9, 12));
                }
            }
            assertEquals(List.of("201", "202"), statuses);
        }
    }

    @Example
    void workIsCancelledWhenTheCallerClosesItsConnection() throws Exception {
        Socket socket = connect();
        send(socket, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        assertNotNull(started.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        socket.close();
        assertTrue(cancelled.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    /** Guards against requests that reach a backend server though their callers left before they were read. */
    @Example
    void aRequestThatIsReadLateIsNotHandledIfItsCallerHasLeft() throws Exception {
        for (boolean usesEpoll : transports()) {
            traffic.close();
            traffic = new TrafficLoop(usesEpoll, () -> lateMillis.addAndGet(1_000));
            try (Socket left = connect();
                    Socket stays = new Socket(InetAddress.getLoopbackAddress(), port)) {
                runOnLoop(() -> {});
                CountDownLatch blocked = new CountDownLatch(1);
                traffic.execute(() -> awaitQuietly(blocked));
                send(left, "GET /left HTTP/1.1\r\nHost: h\r\n\r\n");
                left.close();
                send(stays, "GET /stays HTTP/1.1\r\nHost: h\r\n\r\n");
                blocked.countDown();
                assertNotNull(started.poll(WAIT_SECONDS, TimeUnit.SECONDS));
                for (int round = 0; round < LOOP_ROUNDS; round++) {
                    runOnLoop(() -> {});
                }
                assertEquals(0, started.size(), traffic.transport());
            }
        }
    }

    private static List<Boolean> transports() {
        return Epoll.isAvailable() ? List.of(true, false) : List.of(false);
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A caller that always had another request on its connection kept a stopping router from ending. */
    @Example
    void aClosingServerReadsNoFurtherRequestOnABusyConnection() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
            HttpExchange.Responder first = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            runOnLoop(listener::close);
            send(socket, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
            for (int round = 0; round < LOOP_ROUNDS; round++) {
                runOnLoop(() -> {});
            }
            traffic.execute(() -> first.respond(HttpExchange.Response.empty(201)));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(response.startsWith("HTTP/1.1 201") && response.contains("connection: close"), response);
            assertEquals(0, started.size());
        }
    }

    /** Bytes of a caller's next request arrived while the connection was closing; the reset lost the response. */
    @Example
    void aResponseIsNotLostWhenMoreBytesArriveWhileTheConnectionCloses() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            HttpExchange.Responder first = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            runOnLoop(() -> first.respond(HttpExchange.Response.empty(201)));
            for (int round = 0; round < LOOP_ROUNDS; round++) {
                runOnLoop(() -> {});
                send(socket, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
            }
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(response.startsWith("HTTP/1.1 201"), response);
            assertEquals(0, started.size());
        }
    }

    /** Guards against responses that reach a caller in place of those to other requests on its connection. */
    @Example
    void eachPipelinedRequestGetsItsOwnResponseWhateverTheOrderOfTheResponses() throws Exception {
        for (long seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            int requests = 2 + random.nextInt(MAX_PIPELINED - 1);
            int answered = 1 + random.nextInt(requests);
            try (Socket socket = connect()) {
                StringBuilder sent = new StringBuilder();
                for (int i = 0; i < requests; i++) {
                    String close = i == answered - 1 ? "Connection: close\r\n" : "";
                    sent.append("GET / HTTP/1.1\r\nHost: h\r\nId: one-for-all\r\n" + close + "\r\n");
                }
                send(socket, sent.toString());
                List<Runnable> responses = new ArrayList<>();
                List<String> expected = new ArrayList<>();
                for (int i = 0; i < answered; i++) {
                    HttpExchange.Responder responder = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
                    HttpExchange.Response response = HttpExchange.Response.empty(FIRST_STATUS + i);
                    responses.add(() -> {
                        responder.respond(response);
                        responder.respond(HttpExchange.Response.empty(FIRST_STATUS + MAX_PIPELINED));
                    });
                    expected.add(Integer.toString(FIRST_STATUS + i));
                }
                Collections.shuffle(responses, random);
                responses.forEach(traffic::execute);
                assertEquals(expected, statuses(socket), "seed " + seed);
            }
        }
        assertEquals(0, started.size());
    }

    /** Guards against an interim response that a caller takes for one to an earlier request. */
    @Example
    void anInterimResponseIsSentAfterTheResponsesToEarlierRequests() throws Exception {
        try (Socket socket = connect()) {
            send(
                    socket,
                    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                            + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
            HttpExchange.Responder first = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            runOnLoop(() -> first.respond(HttpExchange.Response.empty(201)));
            send(socket, "body");
            HttpExchange.Responder second = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            traffic.execute(() -> second.respond(HttpExchange.Response.empty(202)));
            assertEquals(List.of("201", "100", "202"), statuses(socket));
        }
    }

    /** Guards against a body that is rejected as late, though its caller was asked for it only just now. */
    @Example
    void theTimeToReceiveABodyCountsFromWhenItWasAskedFor() throws Exception {
        AtomicLong nowMillis = new AtomicLong();
        clock = nowMillis::get;
        long allowedMillis = limits.headerTimeoutMillis() + limits.idleTimeoutMillis();
        try (Socket socket = connect()) {
            send(
                    socket,
                    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                            + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
            HttpExchange.Responder first = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            runOnLoop(() -> {});
            nowMillis.addAndGet(2 * allowedMillis);
            runOnLoop(() -> {
                first.respond(HttpExchange.Response.empty(201));
                listener.closeSlowConnections();
            });
            send(socket, "body");
            HttpExchange.Responder second = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(second, "the body was rejected");
            traffic.execute(() -> second.respond(HttpExchange.Response.empty(202)));
            assertEquals(List.of("201", "100", "202"), statuses(socket));
        }
    }

    /** Returns the statuses of all responses, interim ones too, up to the end of the connection. */
    private static List<String> statuses(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                .lines()
                .filter(line -> line.startsWith("HTTP/1.1"))
                .map(line -> line.substring(9, 12))
                .toList();
    }

    @Example
    void requestsOfAmbiguousLengthAreRejectedAndNothingBehindThemRuns() throws Exception {
        List<String> bad = List.of(
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
                "nonsense\r\n\r\n");
        for (String request : bad) {
            try (Socket socket = connect()) {
                send(socket, request + "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
                String status = new BufferedReader(
                                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                        .readLine();
                assertTrue(status.startsWith("HTTP/1.1 400"), status);
            }
        }
        assertEquals(0, started.size());
    }

    @Example
    void aHeaderSectionLargerThanTheLimitIsRejected() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "GET / HTTP/1.1\r\nHost: h\r\nX: " + "a".repeat(20_000) + "\r\n\r\n");
            String status = new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
            assertTrue(status.startsWith("HTTP/1.1 431"), status);
        }
    }

    private static String largeRequest(String path, long bodyBytes) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    private static String statusLine(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)).readLine();
    }

    /**
     * Guards against a router that stands still, as the bodies of its callers fill its memory. Refused at once, since
     * the request has not run, and accepted again once another one is answered or its caller has left.
     */
    @Example
    void aBodyBeyondTheMemoryForBodiesIsRefusedAndOneAfterItIsRead() throws Exception {
        clock = () -> 0;
        long bodyBytes = RequestMemory.MAX_BODY_BYTES;
        limits = LARGE_BODIES;
        try (Socket leaving = connect()) {
            long room = new RequestMemory(clock).maxBytes() / bodyBytes;
            List<Socket> reading = new ArrayList<>();
            for (int i = 0; i < room; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                reading.add(socket);
                send(socket, largeRequest("/" + i, bodyBytes));
            }
            awaitUsedBytes(room * bodyBytes);
            send(leaving, largeRequest("/refused", bodyBytes));
            assertEquals("HTTP/1.1 503 Service Unavailable", statusLine(leaving));
            try (Socket small = new Socket(InetAddress.getLoopbackAddress(), port)) {
                send(small, largeRequest("/small", 2) + "ok");
                assertNotNull(started.poll(WAIT_SECONDS, TimeUnit.SECONDS), "a small body is refused");
            }
            for (Socket socket : reading) {
                socket.close();
            }
            awaitUsedBytes(0);
            try (Socket next = new Socket(InetAddress.getLoopbackAddress(), port)) {
                send(next, largeRequest("/next", bodyBytes) + "x".repeat((int) bodyBytes));
                assertNotNull(started.poll(WAIT_SECONDS, TimeUnit.SECONDS), "memory is not released");
            }
        }
    }

    /** Guards against callers that keep others with long bodies out by bodies of which they send a part only. */
    @Example
    void aBodyThatTakesLongGivesWayToAnotherOne() throws Exception {
        AtomicLong nowMillis = new AtomicLong();
        clock = nowMillis::get;
        long bodyBytes = RequestMemory.MAX_BODY_BYTES;
        limits = LARGE_BODIES;
        try (Socket stalled = connect()) {
            send(stalled, largeRequest("/0", bodyBytes));
            long room = new RequestMemory(clock).maxBytes() / bodyBytes;
            List<Socket> others = new ArrayList<>();
            awaitUsedBytes(bodyBytes);
            nowMillis.addAndGet(1_000);
            for (int i = 1; i < room; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                others.add(socket);
                send(socket, largeRequest("/" + i, bodyBytes));
            }
            awaitUsedBytes(room * bodyBytes);
            nowMillis.addAndGet(1_000);
            try (Socket next = new Socket(InetAddress.getLoopbackAddress(), port)) {
                send(next, largeRequest("/next", bodyBytes) + "x".repeat((int) bodyBytes));
                assertNotNull(started.poll(WAIT_SECONDS, TimeUnit.SECONDS), "no body gives way");
            }
            assertEquals("HTTP/1.1 503 Service Unavailable", statusLine(stalled));
            for (Socket socket : others) {
                socket.close();
            }
        }
    }

    /** Guards against a response that is ready, but waits for a longer request before it until the process ends. */
    @Example
    void aReadyResponseLeavesWhenTheProcessIsAboutToEnd() throws Exception {
        try (Socket socket = connect()) {
            runOnLoop(listener::startClosing);
            sendPipelined(socket, 2);
            started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            HttpExchange.Responder second = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(second, "the second request was not started");
            runOnLoop(() -> second.respond(HttpExchange.Response.empty(202)));
            runOnLoop(listener::releaseReadyResponses);
            String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertEquals(List.of(GIVEN_UP, "202"), statuses(all), all);
            assertEquals(all.lastIndexOf("HTTP/1.1"), all.lastIndexOf("HTTP/1.1", all.indexOf("connection: close")));
        }
    }

    /** Guards against the same where the response becomes ready only then, and a further request is still running. */
    @Example
    void aResponseThatBecomesReadyLateLeavesAtOnceAndARequestBehindItRunsOn() throws Exception {
        try (Socket socket = connect()) {
            sendPipelined(socket, 3);
            started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            HttpExchange.Responder second = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            HttpExchange.Responder third = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            runOnLoop(listener::startClosing);
            runOnLoop(listener::releaseReadyResponses);
            assertEquals(3, unanswered());
            runOnLoop(() -> second.respond(HttpExchange.Response.empty(202)));
            assertEquals(1, unanswered());
            runOnLoop(() -> third.respond(HttpExchange.Response.empty(203)));
            String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertEquals(List.of(GIVEN_UP, "202", "203"), statuses(all), all);
        }
    }

    /** Guards against callers that are not told that their request is malformed, as a longer one stands before it. */
    @Example
    void aRejectionLeavesWhenTheProcessIsAboutToEnd() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nno request\r\n\r\n");
            started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            runOnLoop(listener::releaseReadyResponses);
            String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertEquals(List.of(GIVEN_UP, "400"), statuses(all), all);
        }
    }

    /** Guards against responses that are kept for a caller which does not read, as probes count as progress. */
    @Example
    void aCallerThatDoesNotReadIsReset() throws Exception {
        limits = new CallerLimits(16_384, 1 << 20, 300, 300);
        try (Socket socket = connect()) {
            send(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            HttpExchange.Responder responder = started.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            runOnLoop(() -> responder.respond(new HttpExchange.Response(200, List.of(), new byte[UNREAD_BYTES])));
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
            while (unanswered() > 0) {
                assertTrue(System.nanoTime() < endNanos, "the response is kept");
            }
        }
    }

    private void sendPipelined(Socket socket, int count) throws IOException {
        for (int i = 1; i <= count; i++) {
            send(socket, "GET /" + i + " HTTP/1.1\r\nHost: h\r\n\r\n");
        }
    }

    private int unanswered() throws InterruptedException {
        AtomicLong count = new AtomicLong();
        runOnLoop(() -> count.set(listener.unanswered()));
        return (int) count.get();
    }

    private static List<String> statuses(String responses) {
        return responses
                .lines()
                .filter(line -> line.startsWith("HTTP/1.1 "))
                .map(line -> line.substring(9, 12))
                .toList();
    }

    /** Guards against connections that are rejected one after the other, and all still receive into large buffers. */
    @Example
    void anEnlargedReceiveBufferIsCountedUntilItsConnectionEnds() throws Exception {
        try (Socket socket = connect()) {
            send(
                    socket,
                    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + "1000\r\n" + "x".repeat(0x1000)
                            + "\r\n4000\r\n" + "x".repeat(0x4000) + "\r\nno length\r\n");
            assertEquals("HTTP/1.1 400 Bad Request", statusLine(socket));
            AtomicLong usedBytes = new AtomicLong();
            runOnLoop(() -> usedBytes.set(traffic.callerMemory().usedBytes()));
            assertTrue(usedBytes.get() >= ReceiveWindow.MAX_UNREAD_BYTES, () -> usedBytes + " bytes are counted");
        }
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        AtomicLong usedBytes = new AtomicLong(-1);
        while (usedBytes.get() != 0) {
            assertTrue(System.nanoTime() < endNanos, () -> usedBytes + " bytes are used");
            runOnLoop(() -> usedBytes.set(traffic.callerMemory().usedBytes()));
        }
    }

    /** Guards against a body that no other router accepts in a message, which ends the connection between them. */
    @Example
    void aBodyTooLongForAMessageBetweenRoutersIsRefused() throws Exception {
        limits = LARGE_BODIES;
        try (Socket socket = connect()) {
            send(socket, largeRequest("/", RequestMemory.MAX_BODY_BYTES + 1));
            assertEquals("HTTP/1.1 503 Service Unavailable", statusLine(socket));
        }
    }

    private void awaitUsedBytes(long expectedBytes) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        AtomicLong usedBytes = new AtomicLong(-1);
        while (usedBytes.get() != expectedBytes) {
            assertTrue(System.nanoTime() < endNanos, () -> usedBytes + " bytes are used");
            runOnLoop(() -> usedBytes.set(listener.requestMemory().usedBytes()));
        }
    }
}
