package org.siskindyke.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A backend server that begins a response to each request and sends bytes until the connection is closed. */
public final class EndlessServer implements AutoCloseable {
    private static final int BUFFER_BYTES = 65_536;

    private final ServerSocket listener;
    private final Kind kind;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicLong sentBytes = new AtomicLong();

    /** What has no end: a start of the response, and a piece that is repeated. */
    public enum Kind {
        /** A body without a length. */
        BODY("HTTP/1.1 200 OK\r\n\r\n", "x".repeat(16_384)),
        /** A body of chunks with one byte each. */
        CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n".repeat(1_024)),
        /** A header section. */
        HEAD("HTTP/1.1 200 OK\r\n", "Name: value\r\n"),
        /** Interim responses. */
        INTERIM("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");

        private final byte[] start;
        private final byte[] piece;

        Kind(String start, String piece) {
            this.start = start.getBytes(StandardCharsets.US_ASCII);
            this.piece = piece.getBytes(StandardCharsets.US_ASCII);
        }
    }

    /** Starts a server on a free port of the loopback interface. */
    public EndlessServer(Kind kind) {
        this.kind = kind;
        try {
            listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startThread(this::accept);
    }

    private void startThread(Runnable action) {
        Thread thread = new Thread(action, "endless-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    }

    /** Returns the number of requests that have begun to arrive. */
    public int requests() {
        return requests.get();
    }

    /** Returns the number of responses that no client has closed yet. */
    public int openResponses() {
        return open.get();
    }

    /** Returns the number of bytes sent in all responses, those in socket buffers included. */
    public long sentBytes() {
        return sentBytes.get();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setSendBufferSize(BUFFER_BYTES);
                startThread(() -> respond(socket));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    private void respond(Socket socket) {
        try (socket) {
            if (socket.getInputStream().read(new byte[BUFFER_BYTES]) < 0) {
                return;
            }
            requests.incrementAndGet();
            open.incrementAndGet();
            OutputStream out = socket.getOutputStream();
            out.write(kind.start);
            while (true) {
                out.write(kind.piece);
                sentBytes.addAndGet(kind.piece.length);
            }
        } catch (IOException e) {
            // The client has closed the connection.
            open.decrementAndGet();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
