package org.siskindyke.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Stops a router while callers wait for several responses on one connection. */
class PipelinedStopTest {
    private static final int OK = 200;
    private static final int BAD_GATEWAY = 502;
    private static final long TIMEOUT_MILLIS = 15_000;
    /** Time after the beginning of a stop at which requests are still taken. */
    private static final long DURING_STOP_MILLIS = 1_000;
    /** Routes whose timeouts are longer than a stop, so that no request ends at its deadline. */
    private static final String CONFIGURATION = SelfCheck.CONFIGURATION.replace(":5000,", ":20000,");
    /** Requests that run for longer than the router that stops. */
    private static final String LONG_SAFE = "/k/15000";

    private static final String LONG_UNSAFE = "/p/15000";
    /** Ends after the router was due to end, had it a platform that kills it; the router itself waits for longer. */
    private static final String BEYOND_GRACE = "/k/7000";

    private static final String SHORT_SAFE = "/k/100";
    private static final String SHORT_UNSAFE = "/p/100";

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));
    private LoopbackCluster.Instance caller;
    private int requestCount;

    /** A connection to the router that stops. */
    private final class Connection implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        private Connection() throws IOException {
            InetSocketAddress address = caller.settings().addresses().callers();
            socket.connect(address);
            socket.setSoTimeout((int) TIMEOUT_MILLIS);
            in = new BufferedInputStream(socket.getInputStream());
        }

        private String send(String path) throws IOException {
            String id = "pipelined" + requestCount++;
            String request = "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Siskindyke-Request-Id: " + id
                    + "\r\nX-Siskindyke-Timeout-Ms: 20000\r\nX-Siskindyke-Shard-Key: 0\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return id;
        }

        /** Returns the status of the next response. */
        private int receive() throws IOException {
            String statusLine = readLine();
            int length = 0;
            for (String field = readLine(); !field.isEmpty(); field = readLine()) {
                String lower = field.toLowerCase(Locale.ROOT);
                length = lower.startsWith("content-length:")
                        ? Integer.parseInt(
                                lower.substring("content-length:".length()).trim())
                        : length;
            }
            assertEquals(length, in.readNBytes(length).length);
            return Integer.parseInt(statusLine.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
        }

        private String readLine() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                assertTrue(next >= 0, () -> "the connection ended after \"" + line + "\"" + events());
                line.append((char) next);
            }
            return line.toString().trim();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private void start() throws InterruptedException {
        cluster.configure(CONFIGURATION);
        caller = cluster.start("plain", false, "a");
        cluster.start("keyed", true, "b");
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (cluster.request(caller, "/k/0", 0) != OK || cluster.request(caller, "/p/0", 0) != OK) {
            assertTrue(System.nanoTime() < endNanos, this::events);
        }
    }

    /** Guards against a response that is ready, but waits for a longer request before it until the process ends. */
    @Example
    void readyResponsesLeaveThoughLongerRequestsStandBeforeThem() throws Exception {
        start();
        try (Connection before = new Connection();
                Connection during = new Connection();
                Connection unsafe = new Connection();
                Connection three = new Connection()) {
            before.send(LONG_SAFE);
            before.send(SHORT_SAFE);
            String unsafeId = unsafe.send(LONG_UNSAFE);
            unsafe.send(SHORT_UNSAFE);
            CompletableFuture<Void> stopped = cluster.stopRouter(caller);
            TimeUnit.MILLISECONDS.sleep(DURING_STOP_MILLIS);
            during.send(LONG_SAFE);
            during.send(SHORT_SAFE);
            three.send(LONG_SAFE);
            three.send(SHORT_SAFE);
            three.send(LONG_UNSAFE);
            List<Integer> statuses = new ArrayList<>();
            for (Connection connection : List.of(before, during, unsafe, three)) {
                statuses.add(connection.receive());
                statuses.add(connection.receive());
            }
            assertEquals(
                    List.of(BAD_GATEWAY, OK, BAD_GATEWAY, OK, BAD_GATEWAY, OK, BAD_GATEWAY, OK),
                    statuses,
                    this::events);
            assertFalse(stopped.isDone(), this::events);
            assertEquals(
                    1,
                    caller.backend().executedRequestIds().stream()
                            .filter(unsafeId::equals)
                            .count(),
                    this::events);
        }
    }

    /** Guards against requests that are ended early though nothing waits for them. */
    @Example
    void aRequestThatHoldsNothingBackRunsOn() throws Exception {
        start();
        try (Connection alone = new Connection();
                Connection first = new Connection()) {
            alone.send(BEYOND_GRACE);
            first.send(SHORT_SAFE);
            first.send(BEYOND_GRACE);
            first.send(BEYOND_GRACE);
            cluster.stopRouter(caller);
            assertEquals(OK, alone.receive(), this::events);
            assertEquals(List.of(OK, OK, OK), List.of(first.receive(), first.receive(), first.receive()), this::events);
        }
    }

    private String events() {
        return events.toString(StandardCharsets.UTF_8);
    }
}
