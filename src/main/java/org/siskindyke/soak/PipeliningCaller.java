package org.siskindyke.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Sends a long request and short ones behind it on one connection, before the long one is answered. It keeps using the
 * connection until the router closes it.
 */
final class PipeliningCaller implements Runnable {
    /** Prefix of the ids of the long requests, which may run until a router that stops is ended. */
    static final String LONG_ID = "long";
    /** Route of these requests, whose timeout is longer than a stop. */
    static final String ROUTE = "/l/";

    static final int ROUTE_TIMEOUT_MILLIS = 9_000;

    private static final int MIN_LONG_WORK_MILLIS = 2_000;
    private static final int MAX_LONG_WORK_MILLIS = 6_500;
    /** Work of a long request that is sent just before a stop. */
    private static final int OUTLASTING_WORK_MILLIS = 8_000;

    private static final int MAX_SHORT_WORK_MILLIS = 300;
    private static final int MAX_SHORT_REQUESTS = 2;
    private static final int MAX_GAP_MILLIS = 200;
    private static final int MIN_PAUSE_MILLIS = 2_000;
    private static final int MAX_PAUSE_MILLIS = 6_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int KEYS = 65_536;

    private static final String STATUS_LINE_START = "HTTP/1.1 ";
    private static final String CONTENT_LENGTH = "content-length:";
    private static final String SIGNATURE = "x-siskindyke-response-signature:";
    private static final String CLOSE = "connection: close";

    private final String router;
    private final Random random;
    private final AtomicLong nextId;
    private final Consumer<SoakEvent> journal;
    private final Deque<String> unansweredIds = new ArrayDeque<>();
    private Socket socket;
    private InputStream in;

    /** A response: its status, and the signature that it bears or null. */
    private record Response(int status, String signature, boolean closes) {}

    /**
     * Creates a caller of a router.
     *
     * @param router address (host:port) at which the router listens for callers
     * @param random draws the requests
     * @param nextId gives each request a number of its own
     * @param journal receives an event for each request and each answer
     */
    PipeliningCaller(String router, Random random, AtomicLong nextId, Consumer<SoakEvent> journal) {
        this.router = router;
        this.random = random;
        this.nextId = nextId;
        this.journal = journal;
    }

    @Override
    public void run() {
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
                sendAndReceive(random.nextInt(MIN_LONG_WORK_MILLIS, MAX_LONG_WORK_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends, once, a request that runs for longer than a stop that begins soon, and short ones behind it. */
    void sendRequestsThatOutlastAStop() {
        try {
            sendAndReceive(OUTLASTING_WORK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        disconnect();
    }

    private void sendAndReceive(int longWorkMillis) throws InterruptedException {
        try {
            connect();
            send(LONG_ID, longWorkMillis);
            for (int left = 1 + random.nextInt(MAX_SHORT_REQUESTS); left > 0; left--) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_GAP_MILLIS));
                send("c", random.nextInt(MAX_SHORT_WORK_MILLIS));
            }
            boolean closed = false;
            while (!closed && !unansweredIds.isEmpty()) {
                Response response = receive();
                closed = response.closes();
                onAnswered(response.status(), response.signature());
            }
            if (closed) {
                disconnect();
            }
        } catch (IOException e) {
            disconnect();
        }
    }

    private void connect() throws IOException {
        if (socket == null) {
            int colon = router.indexOf(':');
            Socket opened = new Socket();
            opened.connect(
                    new InetSocketAddress(router.substring(0, colon), Integer.parseInt(router.substring(colon + 1))),
                    CONNECT_TIMEOUT_MILLIS);
            opened.setSoTimeout(2 * ROUTE_TIMEOUT_MILLIS);
            socket = opened;
            in = new BufferedInputStream(opened.getInputStream());
        }
    }

    /** Closes the connection; requests that are unanswered then have got no answer. */
    private void disconnect() {
        while (!unansweredIds.isEmpty()) {
            onAnswered(0, null);
        }
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The connection has ended, which is what was asked for.
        }
        socket = null;
    }

    private void onAnswered(int status, String signature) {
        journal.accept(SoakEvent.answered(
                SoakJournal.nowMillis(), router, unansweredIds.remove(), 0, signature, status, null));
    }

    private void send(String idPrefix, int workMillis) throws IOException {
        String id = idPrefix + nextId.incrementAndGet();
        int key = random.nextInt(KEYS);
        String request =
                "GET " + ROUTE + workMillis + " HTTP/1.1\r\nHost: soak.example\r\nX-Siskindyke-Request-Id: " + id
                        + "\r\nX-Siskindyke-Timeout-Ms: " + ROUTE_TIMEOUT_MILLIS + "\r\nX-Siskindyke-Shard-Key: " + key
                        + "\r\n\r\n";
        journal.accept(SoakEvent.asked(SoakJournal.nowMillis(), router, id, 0, key, ROUTE));
        unansweredIds.add(id);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    private Response receive() throws IOException {
        String statusLine = readLine();
        int length = 0;
        String signature = null;
        boolean closes = false;
        for (String field = readLine(); !field.isEmpty(); field = readLine()) {
            String lower = field.toLowerCase(Locale.ROOT);
            if (lower.startsWith(CONTENT_LENGTH)) {
                length = Integer.parseInt(
                        lower.substring(CONTENT_LENGTH.length()).trim());
            } else if (lower.startsWith(SIGNATURE)) {
                signature = field.substring(SIGNATURE.length()).trim();
            }
            closes |= lower.equals(CLOSE);
        }
        if (in.readNBytes(length).length < length) {
            throw new EOFException();
        }
        int status = Integer.parseInt(statusLine.substring(STATUS_LINE_START.length(), STATUS_LINE_START.length() + 3));
        return new Response(status, signature, closes);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException();
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }
}
