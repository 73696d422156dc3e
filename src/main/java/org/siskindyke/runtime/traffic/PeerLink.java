package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import org.siskindyke.kernel.time.MonotonicClock;

/**
 * The connection for requests to one peer; opened when needed, and closed when the peer does not answer. Confined to
 * the traffic loop.
 */
final class PeerLink {
    /** Silence after which the peer is pinged while requests are pending. */
    private static final long PING_AFTER_SILENCE_MILLIS = 400;
    /** Silence after a ping that closes the connection; longer than the scheduling delay of a busy peer. */
    private static final long PING_TIMEOUT_MILLIS = 700;

    /** The largest id that a frame can hold; ids start again at 1 after it. */
    private static final long MAX_ID = 0xFFFF_FFFFL;

    private static final byte[] EMPTY_PAYLOAD = {};

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final InetSocketAddress address;
    /** Requests without a reply by id, oldest first. */
    private final Map<Long, PendingRequest> pendingRequests = new LinkedHashMap<>();

    private Channel channel;
    private boolean connecting;
    private long nextId = 1;
    private long lastReadMillis;
    private long pingSentMillis;

    /**
     * A request that waits for its reply.
     *
     * @param frame the request
     * @param onReply receives the reply
     * @param onLost called when the connection fails or cannot be opened; takes whether the peer may have the request
     * @param startMillis when the request was made
     * @param expiresMillis when the request is dropped without a callback
     */
    private record PendingRequest(
            PeerFrame frame,
            Consumer<PeerFrame> onReply,
            Consumer<Boolean> onLost,
            long startMillis,
            long expiresMillis) {}

    PeerLink(TrafficLoop traffic, MonotonicClock clock, InetSocketAddress address) {
        this.traffic = traffic;
        this.clock = clock;
        this.address = address;
    }

    /**
     * Sends a request to the peer, once the connection is open.
     *
     * @param request the request, whose id is assigned here
     * @param timeoutMillis the time after which the request is dropped without a callback
     * @param onReply receives the reply
     * @param onLost called when the connection fails or cannot be opened; takes whether the peer may have the request
     * @return the id of the request
     */
    long sendRequest(PeerFrame request, long timeoutMillis, Consumer<PeerFrame> onReply, Consumer<Boolean> onLost) {
        long id = nextId;
        nextId = nextId == MAX_ID ? 1 : nextId + 1;
        long nowMillis = clock.nowMillis();
        PeerFrame frame = new PeerFrame(request.kind(), id, request.fields(), request.payload());
        pendingRequests.put(id, new PendingRequest(frame, onReply, onLost, nowMillis, nowMillis + timeoutMillis));
        if (isOpen()) {
            channel.writeAndFlush(frame, channel.voidPromise());
        } else if (!connecting) {
            connect();
        }
        return id;
    }

    /** Sends a message without waiting for a reply to it; drops it where there is no open connection. */
    void sendOneWay(PeerFrame.Kind kind, long id, byte[] payload) {
        if (isOpen()) {
            channel.writeAndFlush(new PeerFrame(kind, id, payload), channel.voidPromise());
        }
    }

    /** Drops a request and returns whether it was pending. */
    boolean dropRequest(long id) {
        return pendingRequests.remove(id) != null;
    }

    private boolean isOpen() {
        return channel != null && channel.isActive();
    }

    private void connect() {
        connecting = true;
        ReplyHandler handler = new ReplyHandler();
        ChannelFuture future = traffic.connect(address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel opened) {
                opened.pipeline().addLast(new PeerFrameCodec(), handler);
            }
        });
        future.addListener(done -> {
            connecting = false;
            if (!done.isSuccess()) {
                failPending(false);
                return;
            }
            channel = future.channel();
            lastReadMillis = clock.nowMillis();
            pingSentMillis = 0;
            pendingRequests.values().forEach(pending -> channel.write(pending.frame(), channel.voidPromise()));
            channel.flush();
        });
    }

    /** Drops expired requests, and pings a silent peer or closes its connection. */
    void checkTimeouts(long nowMillis) {
        pendingRequests.values().removeIf(pending -> nowMillis >= pending.expiresMillis());
        if (!isOpen() || pendingRequests.isEmpty()) {
            pingSentMillis = 0;
            return;
        }
        long oldestMillis = pendingRequests.values().iterator().next().startMillis();
        long silentMillis = nowMillis - Math.max(lastReadMillis, oldestMillis);
        if (silentMillis < PING_AFTER_SILENCE_MILLIS) {
            pingSentMillis = 0;
        } else if (pingSentMillis == 0) {
            pingSentMillis = nowMillis;
            sendOneWay(PeerFrame.Kind.PING, 0, EMPTY_PAYLOAD);
        } else if (nowMillis - pingSentMillis > PING_TIMEOUT_MILLIS) {
            channel.close();
        }
    }

    private void failPending(boolean sent) {
        List<PendingRequest> lost = new ArrayList<>(pendingRequests.values());
        pendingRequests.clear();
        channel = null;
        lost.forEach(pending -> pending.onLost().accept(sent));
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Receives the peer's replies on this connection. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<PeerFrame> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            lastReadMillis = clock.nowMillis();
            pingSentMillis = 0;
            PendingRequest request = pendingRequests.remove(frame.id());
            if (request != null) {
                request.onReply().accept(frame);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                failPending(true);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
