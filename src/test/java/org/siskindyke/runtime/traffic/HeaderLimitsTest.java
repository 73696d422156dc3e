package org.siskindyke.runtime.traffic;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.siskindyke.kernel.route.CallerLimits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which limits on header sections apply to connections that were open before these limits were changed. */
class HeaderLimitsTest {
    private static final int WAIT_SECONDS = 10;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int URI_TOO_LONG = 414;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final String END = "\r\n\r\n";

    private final TrafficLoop traffic = new TrafficLoop();
    private volatile CallerLimits limits = CallerLimits.DEFAULT;
    private final InetSocketAddress address;

    HeaderLimitsTest() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        new HttpListener(traffic, () -> 0, () -> limits, (request, responder) -> {
                    responder.respond(HttpExchange.Response.empty(OK));
                    return Cancellable.NONE;
                })
                .listen(address);
    }

    @AfterTry
    void closeLoop() {
        traffic.close();
    }

    private void limitHeaders(int maxHeaderBytes) {
        CallerLimits present = limits;
        limits = new CallerLimits(
                maxHeaderBytes, present.maxBodyBytes(), present.headerTimeoutMillis(), present.idleTimeoutMillis());
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        return socket;
    }

    /** Returns fields of a total length, without the ends of their lines. */
    private static String fields(int bytes) {
        StringBuilder fields = new StringBuilder();
        for (int left = bytes; left > 0; left -= 1_000) {
            fields.append("a:").append("x".repeat(Math.min(1_000, left) - 2)).append("\r\n");
        }
        return fields.toString();
    }

    private static String request(String target, String fields) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static int readStatus(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith(END)) {
            head.append((char) in.readUnsignedByte());
        }
        return Integer.parseInt(head.substring(9, 12));
    }

    private static int send(Socket socket, String request) throws IOException {
        write(socket, request);
        return readStatus(socket);
    }

    /** Waits until the router holds a part of a request. */
    private void awaitHeld(int bytes) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        AtomicLong heldBytes = new AtomicLong();
        while (heldBytes.get() < HttpServerConnection.CONNECTION_BYTES + bytes) {
            assertTrue(System.nanoTime() < endNanos, () -> heldBytes + " bytes are held");
            CountDownLatch counted = new CountDownLatch(1);
            traffic.execute(() -> {
                heldBytes.set(traffic.callerMemory().usedBytes());
                counted.countDown();
            });
            assertTrue(counted.await(WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** Guards against a raised limit that requests on connections opened before do not have. */
    @Example
    void aRaisedLimitAppliesToOpenConnections() throws Exception {
        limitHeaders(8_192);
        try (Socket unused = connect();
                Socket used = connect()) {
            assertEquals(OK, send(used, request("/", "")));
            for (int limit : List.of(16_384, 32_768, 131_072)) {
                limitHeaders(limit);
                assertEquals(OK, send(used, request("/", fields(limit - 100))), "limit " + limit);
            }
            assertEquals(OK, send(unused, request("/", fields(120_000))));
            assertEquals(HEADERS_TOO_LARGE, send(used, request("/", fields(131_073))));
        }
    }

    @Example
    void aRaisedLimitAppliesToARequestThatIsPartlyRead() throws Exception {
        try (Socket socket = connect()) {
            String whole = request("/", fields(18_000));
            write(socket, whole.substring(0, whole.length() / 2));
            awaitHeld(whole.length() / 2);
            limitHeaders(32_768);
            assertEquals(OK, send(socket, whole.substring(whole.length() / 2)));
        }
    }

    /** Guards against a limit that was lowered and that connections opened before do not have. */
    @Example
    void aLoweredLimitAppliesToTheNextRequestOnAnOpenConnection() throws Exception {
        limitHeaders(32_768);
        try (Socket socket = connect()) {
            assertEquals(OK, send(socket, request("/", fields(30_000))));
            limitHeaders(16_384);
            assertEquals(OK, send(socket, request("/", fields(16_000))));
            assertEquals(HEADERS_TOO_LARGE, send(socket, request("/", fields(17_000))));
        }
    }

    /** Guards against a refusal of what the limits allowed when it was sent. */
    @Example
    void aRequestThatBeganUnderALargerLimitIsReadUnderIt() throws Exception {
        limitHeaders(32_768);
        try (Socket socket = connect()) {
            String whole = request("/", fields(30_000));
            write(socket, whole.substring(0, whole.length() / 2));
            awaitHeld(whole.length() / 2);
            limitHeaders(16_384);
            assertEquals(OK, send(socket, whole.substring(whole.length() / 2)));
            assertEquals(HEADERS_TOO_LARGE, send(socket, request("/", fields(30_000))));
        }
    }

    /** Guards against fields that are kept without bound while their section does not end. */
    @Example
    void aSectionWithoutEndIsRefusedAtTheLimit() throws Exception {
        for (String endless : List.of("a:" + "x".repeat(20_000), "a:b\r\n".repeat(8_000))) {
            try (Socket socket = connect()) {
                write(socket, "GET / HTTP/1.1\r\nHost: h\r\n" + endless);
                assertEquals(HEADERS_TOO_LARGE, readStatus(socket));
            }
        }
    }

    @Example
    void aSectionBeyondTheMaximumIsRefusedWhateverTheLimitIs() throws Exception {
        limitHeaders(Integer.MAX_VALUE);
        try (Socket socket = connect()) {
            assertEquals(OK, send(socket, request("/", fields(HttpListener.MAX_HEADER_BYTES - 100))));
            assertEquals(HEADERS_TOO_LARGE, send(socket, request("/", fields(HttpListener.MAX_HEADER_BYTES))));
        }
    }

    /** Guards against a limit on request lines that no configuration names. */
    @Example
    void aRequestLineMayBeAsLongAsTheFieldsMayBe() throws Exception {
        for (int limit : List.of(16_384, 131_072)) {
            limitHeaders(limit);
            try (Socket socket = connect()) {
                assertEquals(OK, send(socket, request("/" + "x".repeat(limit - 100), fields(limit - 100))));
                assertEquals(URI_TOO_LONG, send(socket, request("/" + "x".repeat(limit), "")));
            }
        }
        limitHeaders(4_096);
        try (Socket socket = connect()) {
            assertEquals(OK, send(socket, request("/" + "x".repeat(8_000), "")));
            assertEquals(URI_TOO_LONG, send(socket, request("/" + "x".repeat(8_192), "")));
        }
    }

    /** Guards against folded lines that hang the traffic loop, since each copies the field that it continues. */
    @Example
    void manyFoldedLinesAreRefusedWithoutDelay() throws Exception {
        limitHeaders(131_072);
        try (Socket socket = connect()) {
            assertEquals(OK, send(socket, request("/", "a: b\r\n" + " c\r\n".repeat(200))));
            assertEquals(BAD_REQUEST, send(socket, request("/", "a: b\r\n" + " \r\n".repeat(100_000))));
        }
    }
}
