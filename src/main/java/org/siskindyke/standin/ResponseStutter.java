package org.siskindyke.standin;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.TrafficLoop;

/**
 * Writes responses once more, late: some time after the response, or in front of the next one on its connection.
 * Confined to the traffic loop.
 */
final class ResponseStutter {
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] EARLY_HINTS =
            "HTTP/1.1 103 Early Hints\r\nLink: </s>\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    /** Upper limits of the delays of a copy; the longest is longer than a connection usually rests. */
    private static final List<Integer> MAX_DELAYS_MILLIS = List.of(1, 10, 300, 5_000);

    private static final long PIECE_INTERVAL_MILLIS = 4;

    private final TrafficLoop traffic;
    private final Connections connections;
    private final Random random;
    /** Copies to write in front of the next response, by the connection's other end. */
    private final Map<InetSocketAddress, Copy> pending = new HashMap<>();

    /** Writes to connections. */
    interface Connections {
        /** Sends bytes as they are on the connection from {@code remote}. */
        void sendRaw(InetSocketAddress remote, byte[] bytes);
    }

    /** How a copy and the response before it are written. */
    enum Form {
        WHOLE,
        IN_PIECES,
        BROKEN_OFF,
        TWICE,
        /** Ahead of an interim response. */
        BEFORE_INTERIM,
        /** After a response with {@code Connection: close}. */
        AFTER_CLOSE,
        /** After a response without its signature. */
        AFTER_UNSIGNED
    }

    /** A second copy, written in these pieces. */
    private record Copy(List<byte[]> pieces) {}

    /**
     * Creates a stutter.
     *
     * @param traffic the loop
     * @param connections the connections of the server
     * @param seed seed of all draws
     */
    ResponseStutter(TrafficLoop traffic, Connections connections, long seed) {
        this.traffic = traffic;
        this.connections = connections;
        this.random = new Random(seed);
    }

    /** Returns whether an event occurs that does so once in {@code interval} times on average. */
    boolean drawsOnceIn(int interval) {
        return random.nextInt(interval) == 0;
    }

    /** Draws how a response is written. */
    Form drawForm() {
        return Form.values()[random.nextInt(Form.values().length)];
    }

    /** Writes a response, after a copy that is due in front of it, and later its copy. */
    void respond(
            InetSocketAddress remote,
            HttpExchange.Response response,
            Form form,
            String signatureField,
            HttpExchange.Responder responder) {
        Runnable writeResponse = () -> {
            responder.respond(first(response, form, signatureField));
            scheduleCopy(remote, copyOf(response, form));
        };
        Copy before = pending.remove(remote);
        if (before == null) {
            writeResponse.run();
        } else {
            write(remote, before, writeResponse);
        }
    }

    private void scheduleCopy(InetSocketAddress remote, Copy copy) {
        if (random.nextBoolean()) {
            pending.put(remote, copy);
        } else {
            int maxMillis = MAX_DELAYS_MILLIS.get(random.nextInt(MAX_DELAYS_MILLIS.size()));
            traffic.schedule(() -> write(remote, copy, () -> {}), random.nextInt(maxMillis));
        }
    }

    private void write(InetSocketAddress remote, Copy copy, Runnable after) {
        connections.sendRaw(remote, copy.pieces().get(0));
        if (copy.pieces().size() == 1) {
            after.run();
        } else {
            Copy rest = new Copy(copy.pieces().subList(1, copy.pieces().size()));
            traffic.schedule(() -> write(remote, rest, after), PIECE_INTERVAL_MILLIS);
        }
    }

    private static HttpExchange.Response first(HttpExchange.Response response, Form form, String signatureField) {
        List<Header> headers = new ArrayList<>(response.headers());
        if (form == Form.AFTER_CLOSE) {
            headers.add(new Header("Connection", "close"));
        } else if (form == Form.AFTER_UNSIGNED) {
            headers.removeIf(header -> header.name().equals(signatureField));
        }
        return new HttpExchange.Response(response.status(), headers, response.body());
    }

    private Copy copyOf(HttpExchange.Response response, Form form) {
        byte[] whole = encode(response);
        int middle = 1 + random.nextInt(whole.length - 1);
        byte[] start = Arrays.copyOf(whole, middle);
        return new Copy(
                switch (form) {
                    case IN_PIECES -> List.of(start, Arrays.copyOfRange(whole, middle, whole.length));
                    case BROKEN_OFF -> List.of(start);
                    case TWICE -> List.of(whole, whole);
                    case BEFORE_INTERIM -> List.of(whole, random.nextBoolean() ? CONTINUE : EARLY_HINTS);
                    default -> List.of(whole);
                });
    }

    private static byte[] encode(HttpExchange.Response response) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + response.status() + " Status\r\n");
        response.headers()
                .forEach(header -> head.append(header.name())
                        .append(": ")
                        .append(header.value())
                        .append("\r\n"));
        head.append("Content-Length: ").append(response.body().length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.US_ASCII));
        bytes.writeBytes(response.body());
        return bytes.toByteArray();
    }
}
