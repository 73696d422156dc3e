package org.siskindyke.runtime.traffic;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.siskindyke.kernel.route.CallerLimits;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that the limits on what is held for callers leave those inside the limits as they are. */
class HttpServerLimitsTest {
    private static final int WAIT_SECONDS = 10;
    private static final int MAX_CONNECTIONS = 3;
    private static final int PIPELINED = 100;
    /** More than the transport holds for a caller that does not read. */
    private static final int LONG_BYTES = 3_000_000;

    private static final int SMALL_BUFFER_BYTES = 16_384;
    /** Reads that last longer than the idle timeout and free less of the socket than makes it writable. */
    private static final int SLOW_READS = 4;

    private static final String GET = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

    private final TrafficLoop traffic = new TrafficLoop();
    private final LinkedBlockingQueue<HttpExchange.Request> requests = new LinkedBlockingQueue<>();
    private final AtomicLong nowMillis = new AtomicLong(1_000);
    private byte[] responseBody = {};
    private HttpListener listener;
    private InetSocketAddress address;

    private void listen() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
        }
        listener = new HttpListener(
                traffic,
                nowMillis::get,
                () -> CallerLimits.DEFAULT,
                (request, responder) -> {
                    requests.add(request);
                    traffic.execute(() -> responder.respond(new HttpExchange.Response(200, List.of(), responseBody)));
                    return Cancellable.NONE;
                },
                HttpExchange.Rejections.EMPTY,
                new ConnectionLimits(MAX_CONNECTIONS, 128, 8_192));
        listener.listen(address);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        return socket;
    }

    @AfterTry
    void closeLoop() {
        traffic.close();
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads a response and returns its body. */
    private static byte[] readResponse(DataInputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) in.readUnsignedByte());
        }
        String length = head.toString().replaceAll("(?s).*content-length: (\\d+).*", "$1");
        byte[] body = new byte[Integer.parseInt(length)];
        in.readFully(body);
        return body;
    }

    /** Guards against requests that stay undecoded, or responses that stay unwritten, once a caller reads again. */
    @Example
    void aCallerThatReadsLateGetsTheWholeResponsesToAllRequestsThatItPipelined() throws Exception {
        listen();
        responseBody = new byte[LONG_BYTES];
        new Random(7).nextBytes(responseBody);
        try (Socket socket = connect()) {
            send(socket, GET.repeat(PIPELINED));
            assertNotNull(requests.poll(WAIT_SECONDS, TimeUnit.SECONDS));
            DataInputStream in = new DataInputStream(socket.getInputStream());
            for (int i = 0; i < PIPELINED; i++) {
                assertArrayEquals(responseBody, readResponse(in), "response " + i);
            }
        }
        awaitUsedBytes(0);
    }

    /** Guards against a caller that reads all the time, and is taken for one that does not read. */
    @Example
    void aCallerThatReadsSlowlyIsNotReset() throws Exception {
        if (!traffic.transport().equals("epoll")) {
            return;
        }
        listen();
        responseBody = new byte[LONG_BYTES * 3];
        new Random(7).nextBytes(responseBody);
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            socket.connect(address);
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            send(socket, GET);
            InputStream in = socket.getInputStream();
            byte[] start = new byte[0];
            for (int i = 0; i < SLOW_READS; i++) {
                byte[] part = in.readNBytes(4 * SMALL_BUFFER_BYTES);
                start = ByteBuffer.allocate(start.length + part.length)
                        .put(start)
                        .put(part)
                        .array();
                nowMillis.addAndGet(CallerLimits.DEFAULT.idleTimeoutMillis() - 1_000);
                runOnLoop(listener::closeSlowConnections);
            }
            DataInputStream all = new DataInputStream(new SequenceInputStream(new ByteArrayInputStream(start), in));
            assertArrayEquals(responseBody, readResponse(all));
        }
        awaitUsedBytes(0);
    }

    private void runOnLoop(Runnable action) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        traffic.execute(() -> {
            action.run();
            done.countDown();
        });
        assertTrue(done.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    /** Guards against a limit that a single request inside the configured limits meets. */
    @Example
    void aRequestWithAsManyLinesAsItsHeaderSectionMayHaveIsServed() throws Exception {
        listen();
        int lines = (CallerLimits.DEFAULT.maxHeaderBytes() - 100) / 4;
        try (Socket socket = connect()) {
            send(socket, "GET / HTTP/1.1\r\nHost: h\r\n" + "a:\r\n".repeat(lines) + "\r\n");
            readResponse(new DataInputStream(socket.getInputStream()));
            assertEquals(1 + lines, requests.take().headers().size());
        }
        awaitUsedBytes(0);
    }

    /** Guards against one-byte chunks that take more memory than their bytes, and against bytes out of order. */
    @Example
    void aBodyInOneByteChunksIsCollected() throws Exception {
        listen();
        StringBuilder chunks = new StringBuilder();
        StringBuilder body = new StringBuilder();
        for (int i = 0; i < LONG_BYTES / 100; i++) {
            char sign = (char) ('a' + i % 26);
            chunks.append("1\r\n").append(sign).append("\r\n");
            body.append(sign);
        }
        try (Socket socket = connect()) {
            send(socket, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n");
            readResponse(new DataInputStream(socket.getInputStream()));
            assertEquals(body.toString(), new String(requests.take().body(), StandardCharsets.US_ASCII));
        }
        awaitUsedBytes(0);
    }

    /** Guards against idle connections that keep out callers with requests. */
    @Example
    void theConnectionThatIsIdleForLongestIsClosedForANewOne() throws Exception {
        listen();
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i <= MAX_CONNECTIONS; i++) {
            Socket socket = connect();
            sockets.add(socket);
            nowMillis.incrementAndGet();
            send(socket, GET);
            readResponse(new DataInputStream(socket.getInputStream()));
        }
        assertEquals(-1, sockets.get(0).getInputStream().read());
        send(sockets.get(1), GET);
        readResponse(new DataInputStream(sockets.get(1).getInputStream()));
        for (Socket socket : sockets) {
            socket.close();
        }
        awaitUsedBytes(0);
    }

    /** Guards against memory that is never returned, which would refuse all callers in the end. */
    private void awaitUsedBytes(long expectedBytes) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        AtomicLong usedBytes = new AtomicLong(-1);
        while (usedBytes.get() != expectedBytes) {
            assertTrue(System.nanoTime() < endNanos, () -> usedBytes + " bytes are used");
            CountDownLatch counted = new CountDownLatch(1);
            traffic.execute(() -> {
                usedBytes.set(traffic.callerMemory().usedBytes());
                counted.countDown();
            });
            assertTrue(counted.await(WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }
}
