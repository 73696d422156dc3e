package org.siskindyke.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Connections that each send the same bytes, as far as they are accepted, read nothing and stay open. */
final class CallerCrowd implements AutoCloseable {
    /** Time without an accepted byte after which the router is taken to accept no more. */
    private static final long STALLED_MILLIS = 1_500;

    private static final long POLL_MILLIS = 10;

    private final List<SocketChannel> channels = new ArrayList<>();
    private final List<ByteBuffer> unsent = new ArrayList<>();

    /** Connects and sends until all bytes are sent, or no more are accepted, or the connections have ended. */
    CallerCrowd(InetSocketAddress address, int connections, String text) throws IOException, InterruptedException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < connections; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(address);
            channels.add(channel);
            unsent.add(ByteBuffer.wrap(bytes));
        }
        sendAll();
    }

    private void sendAll() throws InterruptedException {
        long progressNanos = System.nanoTime();
        while (System.nanoTime() - progressNanos < TimeUnit.MILLISECONDS.toNanos(STALLED_MILLIS)) {
            boolean complete = true;
            boolean progress = false;
            for (int i = 0; i < channels.size(); i++) {
                progress |= send(channels.get(i), unsent.get(i));
                complete &= !unsent.get(i).hasRemaining();
            }
            if (complete) {
                return;
            }
            if (progress) {
                progressNanos = System.nanoTime();
            } else {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
    }

    /** Sends a part; returns whether anything was accepted. */
    private static boolean send(SocketChannel channel, ByteBuffer bytes) {
        try {
            return bytes.hasRemaining() && channel.finishConnect() && channel.write(bytes) > 0;
        } catch (IOException e) {
            // The router has refused or closed the connection, which it may.
            bytes.position(bytes.limit());
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : channels) {
            channel.close();
        }
    }
}
