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

/** The connection on which this router asks another; made when needed, replaced when it falls silent. */
final class PeerLink {
    /** Silence with questions open after which the peer is asked for a sign of life. */
    private static final long PING_AFTER_MILLIS = 400;
    /** Silence after that question which ends the connection; a busy peer answers within its scheduling delay. */
    private static final long DEAD_AFTER_MILLIS = 700;

    /** The largest id that a frame can hold; ids begin again after it. */
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
     * Waits for an answer.
     *
     * @param onAnswer takes the answer
     * @param onLost takes whether the question may have reached the peer
     * @param askedMillis when it was asked
     * @param expiresMillis when it is forgotten without a word
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
     * Asks the peer.
     *
     * @param question the frame, whose id is given here
     * @return the question's id
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

    /** Sends a message that is not answered, where there is a connection. */
    void tell(PeerFrame.Kind kind, long id, byte[] payload) {
        if (isOpen()) {
            channel.writeAndFlush(new PeerFrame(kind, id, payload), channel.voidPromise());
        }
    }

    /** Forgets a question; tells whether it was open. */
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

    /** Looks for silence and forgets questions that have expired. */
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

    /** Takes what the peer sends on this connection: answers. */
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
