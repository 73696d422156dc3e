package org.siskindyke.crowd;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Connections that send bytes, as far as they are accepted, read nothing and stay open. */
public final class CallerCrowd implements AutoCloseable {
    /** Time without an accepted byte after which the router is taken to accept no more. */
    private static final long STALLED_MILLIS = 1_500;

    private static final long POLL_MILLIS = 10;

    private final List<Caller> callers = new ArrayList<>();

    /** A connection, and what is still to be sent on it. */
    private static final class Caller {
        private final SocketChannel channel;
        private ByteBuffer unsent;

        private Caller(SocketChannel channel, byte[] bytes) {
            this.channel = channel;
            this.unsent = ByteBuffer.wrap(bytes);
        }

        /** Sends a part, of a number of bytes at most; returns whether anything was accepted. */
        private boolean send(int maxBytes) {
            try {
                if (!unsent.hasRemaining() || !channel.finishConnect()) {
                    return false;
                }
                ByteBuffer part = unsent.slice().limit(Math.min(maxBytes, unsent.remaining()));
                int count = channel.write(part);
                unsent.position(unsent.position() + count);
                return count > 0;
            } catch (IOException e) {
                // The router has refused or closed the connection, which it may.
                unsent.position(unsent.limit());
                return false;
            }
        }
    }

    /** Starts to connect a number of callers that each send {@code text}, once {@link #send} is called. */
    public CallerCrowd(InetSocketAddress address, int connections, String text) throws IOException {
        add(address, connections, text);
    }

    /** Adds callers as above. */
    public void add(InetSocketAddress address, int connections, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < connections; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(address);
            callers.add(new Caller(channel, bytes));
        }
    }

    /** Sends until all bytes are sent, or no more are accepted, or the connections have ended. */
    public void send() throws InterruptedException {
        sendInTurns(Integer.MAX_VALUE);
    }

    /** Sends as above; each caller sends a number of bytes at most before the next one has its turn. */
    public void sendInTurns(int turnBytes) throws InterruptedException {
        long progressNanos = System.nanoTime();
        while (System.nanoTime() - progressNanos < TimeUnit.MILLISECONDS.toNanos(STALLED_MILLIS)) {
            boolean progress = false;
            for (Caller caller : callers) {
                progress |= caller.send(turnBytes);
            }
            if (callers.stream().noneMatch(caller -> caller.unsent.hasRemaining())) {
                return;
            }
            if (progress) {
                progressNanos = System.nanoTime();
            } else {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
    }

    /** Has all callers that are connected send {@code text} next. */
    public void sendNext(String text) throws InterruptedException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        callers.forEach(caller -> caller.unsent = ByteBuffer.wrap(bytes));
        send();
    }

    @Override
    public void close() throws IOException {
        for (Caller caller : callers) {
            caller.channel.close();
        }
    }
}
