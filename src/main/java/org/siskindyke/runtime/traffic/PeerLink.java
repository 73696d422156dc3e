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

/** The connection for requests to one peer; opened when needed, and closed when the peer falls silent. */
final class PeerLink {
    /** Silence after which the peer is pinged while requests are pending. */
    private static final long PING_AFTER_MILLIS = 400;
    /** Silence after a ping that closes the connection; a busy peer answers within its scheduling delay. */
    private static final long DEAD_AFTER_MILLIS = 700;

    /** The largest id that a frame can hold; ids start again at 1 after it. */
    private static final long LAST_ID = 0xFFFF_FFFFL;

    private static final byte[] NOTHING = {};

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final InetSocketAddress address;
    private final Map<Long, Question> open = new LinkedHashMap<>();
    private Channel channel;
    private boolean connecting;
    private long nextId = 1;
    private long lastReadMillis;
    private long pingMillis;

    /**
     * A request that waits for its reply.
     *
     * @param frame the request
     * @param onAnswer receives the reply
     * @param onLost called when the connection fails, with whether the request may have reached the peer
     * @param askedMillis when the request was made
     * @param expiresMillis when the request is dropped without a callback
     */
    private record Question(
            PeerFrame frame,
            Consumer<PeerFrame> onAnswer,
            Consumer<Boolean> onLost,
            long askedMillis,
            long expiresMillis) {}

    PeerLink(TrafficLoop traffic, MonotonicClock clock, InetSocketAddress address) {
        this.traffic = traffic;
        this.clock = clock;
        this.address = address;
    }

    /**
     * Sends a request to the peer, once the connection is open.
     *
     * @param question the request, whose id is assigned here
     * @param timeoutMillis the time after which the request is dropped without a callback
     * @param onAnswer receives the reply
     * @param onLost called when the connection fails, with whether the request may have reached the peer
     * @return the id of the request
     */
    long ask(PeerFrame question, long timeoutMillis, Consumer<PeerFrame> onAnswer, Consumer<Boolean> onLost) {
        long id = nextId;
        nextId = nextId == LAST_ID ? 1 : nextId + 1;
        long nowMillis = clock.nowMillis();
        PeerFrame frame = new PeerFrame(question.kind(), id, question.fields(), question.payload());
        open.put(id, new Question(frame, onAnswer, onLost, nowMillis, nowMillis + timeoutMillis));
        if (isOpen()) {
            channel.writeAndFlush(frame, channel.voidPromise());
        } else if (!connecting) {
            connect();
        }
        return id;
    }

    /** Sends a message that has no reply of its own; drops it where there is no open connection. */
    void tell(PeerFrame.Kind kind, long id, byte[] payload) {
        if (isOpen()) {
            channel.writeAndFlush(new PeerFrame(kind, id, payload), channel.voidPromise());
        }
    }

    /** Drops a request and returns whether it was pending. */
    boolean forget(long id) {
        return open.remove(id) != null;
    }

    private boolean isOpen() {
        return channel != null && channel.isActive();
    }

    private void connect() {
        connecting = true;
        Handler handler = new Handler();
        ChannelFuture future = traffic.connect(address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel made) {
                made.pipeline().addLast(new PeerFrameCodec(), handler);
            }
        });
        future.addListener(done -> {
            connecting = false;
            if (!done.isSuccess()) {
                fail(false);
                return;
            }
            channel = future.channel();
            lastReadMillis = clock.nowMillis();
            pingMillis = 0;
            open.values().forEach(q -> channel.write(q.frame(), channel.voidPromise()));
            channel.flush();
        });
    }

    /** Drops expired requests, and pings a silent peer or closes its connection. */
    void sweep(long nowMillis) {
        open.values().removeIf(q -> nowMillis >= q.expiresMillis());
        if (!isOpen() || open.isEmpty()) {
            pingMillis = 0;
            return;
        }
        long oldestMillis = open.values().iterator().next().askedMillis();
        long silentMillis = nowMillis - Math.max(lastReadMillis, oldestMillis);
        if (silentMillis < PING_AFTER_MILLIS) {
            pingMillis = 0;
        } else if (pingMillis == 0) {
            pingMillis = nowMillis;
            tell(PeerFrame.Kind.PING, 0, NOTHING);
        } else if (nowMillis - pingMillis > DEAD_AFTER_MILLIS) {
            channel.close();
        }
    }

    private void fail(boolean sent) {
        List<Question> lost = new ArrayList<>(open.values());
        open.clear();
        channel = null;
        lost.forEach(q -> q.onLost().accept(sent));
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Receives the peer's replies on this connection. */
    private final class Handler extends SimpleChannelInboundHandler<PeerFrame> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            lastReadMillis = clock.nowMillis();
            pingMillis = 0;
            Question question = open.remove(frame.id());
            if (question != null) {
                question.onAnswer().accept(frame);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (context.channel() == channel) {
                fail(true);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
