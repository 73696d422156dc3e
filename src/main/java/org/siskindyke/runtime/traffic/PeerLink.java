package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import org.siskindyke.kernel.link.LinkAnswer;
import org.siskindyke.kernel.link.LinkQuestion;
import org.siskindyke.kernel.link.SentCall;
import org.siskindyke.kernel.link.SentCalls;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.peer.WireCodec;
import org.siskindyke.wire.LinkState;

/**
 * The connection for requests to one peer; opened when needed. Confined to the traffic loop.
 *
 * <p>A connection that ends or falls silent is replaced by a new one, on which the peer first says which calls have
 * arrived on those before; from then on it processes nothing of them any more. Calls that have not arrived are sent
 * again; the replies to the others arrive on the new connection. Where the peer cannot say so in time, the calls are
 * lost. {@link SentCalls} is the record of the calls; {@link InboundSessions} is the other side.
 */
final class PeerLink {
    /** Silence after which the peer is pinged while requests are pending. */
    private static final long PING_AFTER_SILENCE_MILLIS = 200;
    /** Silence after a ping from which the connection is replaced; longer than a round trip between regions. */
    private static final long STALLED_AFTER_PING_MILLIS = 150;
    /** Silence after a ping that closes a connection that cannot be replaced. */
    private static final long PING_TIMEOUT_MILLIS = 700;
    /** Time in which a replaced connection's requests are settled; longer than the time to connect. */
    private static final long SETTLE_TIMEOUT_MILLIS = 700;
    /** Time between two replacements, so that a busy peer is not burdened with new connections. */
    private static final long REPLACEMENT_INTERVAL_MILLIS = 1_000;

    /** Ids from which on the link is replaced; a frame has room for ids of 32 bits. */
    private static final long EXHAUSTED_FROM_ID = 0xFFF0_0000L;
    /** Connections that may end unanswered in a row until the next one waits for {@link #checkTimeouts}. */
    private static final int MAX_IMMEDIATE_RECONNECTS = 5;
    /** Ids of requests that a log line names, at most. */
    private static final int MAX_LOGGED_IDS = 8;

    private static final byte[] EMPTY_PAYLOAD = {};

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final InetSocketAddress address;
    private final EventLog log;
    /** Names this link to the peer. */
    private final long link = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);

    private final SentCalls<Request> requests;
    private Connection current;
    /** The connection before the current one, while its requests are not settled and it may still bring replies. */
    private Connection replaced;

    /** Since when requests of earlier connections are not settled; 0 for none. */
    private long unsettledSinceMillis;

    /** Connections that ended one after the other before the peer had answered. */
    private int unansweredInARow;

    private boolean connecting;
    private long replacedMillis = Long.MIN_VALUE / 2;

    /** A request that waits for its reply. */
    static final class Request extends SentCall {
        private final PeerFrame frame;
        private final Consumer<PeerFrame> onReply;
        private final Consumer<Boolean> onLost;
        private final long startMillis;
        private final long expiresMillis;
        private boolean withdrawn;

        private Request(
                PeerFrame frame,
                Consumer<PeerFrame> onReply,
                Consumer<Boolean> onLost,
                long startMillis,
                long expiresMillis) {
            this.frame = frame;
            this.onReply = onReply;
            this.onLost = onLost;
            this.startMillis = startMillis;
            this.expiresMillis = expiresMillis;
        }

        /** Control messages are not kept: their senders send new ones. */
        @Override
        protected boolean isKept() {
            return frame.kind() == PeerFrame.Kind.FORWARD;
        }
    }

    PeerLink(TrafficLoop traffic, MonotonicClock clock, InetSocketAddress address, EventLog log) {
        this(traffic, clock, address, log, 1);
    }

    PeerLink(TrafficLoop traffic, MonotonicClock clock, InetSocketAddress address, EventLog log, long firstId) {
        this.traffic = traffic;
        this.clock = clock;
        this.address = address;
        this.log = log;
        this.requests = new SentCalls<>(firstId);
    }

    /**
     * Sends a request to the peer, once a connection is open.
     *
     * @param frame the request, whose id is assigned when it is written
     * @param timeoutMillis the time after which the request is dropped without a callback
     * @param onReply receives the reply
     * @param onLost called when there will be no reply; takes whether the peer may have the request
     * @return the request
     */
    Request sendRequest(PeerFrame frame, long timeoutMillis, Consumer<PeerFrame> onReply, Consumer<Boolean> onLost) {
        long nowMillis = clock.nowMillis();
        Request request = new Request(frame, onReply, onLost, nowMillis, nowMillis + timeoutMillis);
        requests.add(request);
        if (isOpen()) {
            writeWaiting();
        } else {
            connect();
        }
        return request;
    }

    private void writeWaiting() {
        for (Request request : requests.send()) {
            PeerFrame frame = request.frame;
            current.channel.writeAndFlush(
                    new PeerFrame(frame.kind(), request.id(), frame.fields(), frame.payload()),
                    current.channel.voidPromise());
        }
    }

    /** Sends a message without waiting for a reply to it; drops it where there is no open connection. */
    void sendOneWay(PeerFrame.Kind kind, long id, byte[] payload) {
        if (isOpen()) {
            current.send(kind, id, payload);
        }
    }

    /** Sends a message about a request that the peer may have, as above. */
    void sendAbout(Request request, PeerFrame.Kind kind) {
        if (request.mayHaveArrived()) {
            sendOneWay(kind, request.id(), EMPTY_PAYLOAD);
        }
    }

    /** Has a request refused if the peer has not begun to run it; reports it as lost where it has not arrived. */
    void withdraw(Request request) {
        request.withdrawn = true;
        if (request.mayHaveArrived()) {
            sendAbout(request, PeerFrame.Kind.WITHDRAW);
        } else if (requests.remove(request)) {
            request.onLost.accept(false);
        }
    }

    /** Drops a request, and returns whether it was pending. */
    boolean dropRequest(Request request) {
        return requests.remove(request);
    }

    /** Returns whether the last connection has fallen silent or ended and no other one is open yet. */
    boolean isStalled() {
        return unsettledSinceMillis != 0 && !isOpen();
    }

    /** Returns whether nearly all ids are used, so that another link has to take new requests. */
    boolean isExhausted() {
        return requests.nextId() >= EXHAUSTED_FROM_ID;
    }

    /** Returns whether no request waits for its reply. */
    boolean isIdle() {
        return requests.isEmpty();
    }

    private boolean isOpen() {
        return current != null && current.channel.isActive();
    }

    private void connect() {
        if (connecting) {
            return;
        }
        connecting = true;
        Connection opening = new Connection();
        ChannelFuture future = traffic.connect(address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel opened) {
                opened.pipeline().addLast(new PeerFrameCodec(), opening);
            }
        });
        future.addListener(done -> {
            connecting = false;
            if (done.isSuccess()) {
                onConnected(opening, future.channel());
            } else {
                onConnectFailed();
            }
        });
    }

    private void onConnected(Connection opened, Channel channel) {
        opened.channel = channel;
        opened.lastReadMillis = clock.nowMillis();
        current = opened;
        LinkQuestion question = requests.open();
        opened.number = question.connection();
        checkUnsettled();
        LinkState state = new LinkState(ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE));
        state.setLink(link);
        state.setConnection(question.connection());
        state.setPending(question.pending());
        opened.send(PeerFrame.Kind.PING, 0, WireCodec.encode(state));
        writeWaiting();
    }

    private void onConnectFailed() {
        List<Request> notSent = requests.removeWaiting();
        if (replaced == null || !replaced.channel.isActive()) {
            loseUnsettled("cannot connect");
        }
        notSent.forEach(request -> request.onLost.accept(false));
    }

    /** Drops expired requests; pings a silent peer, and replaces or closes a connection on which it does not reply. */
    void checkTimeouts(long nowMillis) {
        requests.removeIf(request -> nowMillis >= request.expiresMillis);
        if (unsettledSinceMillis != 0 && nowMillis - unsettledSinceMillis > SETTLE_TIMEOUT_MILLIS) {
            loseUnsettled("timeout");
        }
        if (!isOpen()) {
            if (requests.hasWaiting() || unsettledSinceMillis != 0) {
                connect();
            }
            return;
        }
        Request oldest = oldestOnCurrent();
        if (oldest == null) {
            current.pingSentMillis = 0;
            return;
        }
        long silentMillis = nowMillis - Math.max(current.lastReadMillis, oldest.startMillis);
        if (silentMillis < PING_AFTER_SILENCE_MILLIS) {
            current.pingSentMillis = 0;
        } else if (current.pingSentMillis == 0) {
            current.pingSentMillis = nowMillis;
            current.send(PeerFrame.Kind.PING, 0, EMPTY_PAYLOAD);
        } else {
            onPingUnanswered(nowMillis - current.pingSentMillis, nowMillis);
        }
    }

    private Request oldestOnCurrent() {
        return requests.sent().stream().findFirst().orElse(null);
    }

    private void onPingUnanswered(long unansweredMillis, long nowMillis) {
        boolean mayReplace = current.answered
                && unsettledSinceMillis == 0
                && nowMillis - replacedMillis >= REPLACEMENT_INTERVAL_MILLIS;
        if (mayReplace && unansweredMillis > STALLED_AFTER_PING_MILLIS) {
            replacedMillis = nowMillis;
            replace(current);
        } else if (unansweredMillis > PING_TIMEOUT_MILLIS) {
            current.channel.close();
        }
    }

    /** Opens a new connection, on which the requests of the previous one, which may have ended, are settled. */
    private void replace(Connection previous) {
        abortReplaced();
        replaced = previous;
        current = null;
        requests.close();
        checkUnsettled();
        unansweredInARow = previous.answered ? 0 : unansweredInARow + 1;
        if (unsettledSinceMillis != 0 && unansweredInARow <= MAX_IMMEDIATE_RECONNECTS) {
            connect();
        }
    }

    private void checkUnsettled() {
        if (unsettledSinceMillis == 0 && requests.hasUnconfirmed()) {
            unsettledSinceMillis = clock.nowMillis();
        }
    }

    /** Resets the replaced connection, so that nothing that was written to it can still reach the peer. */
    private void abortReplaced() {
        if (replaced != null && replaced.channel.isActive()) {
            replaced.channel.config().setOption(ChannelOption.SO_LINGER, 0);
            replaced.channel.close();
        }
        replaced = null;
    }

    /** Reports the requests of earlier connections as lost, and closes the replaced one. */
    private void loseUnsettled(String cause) {
        unsettledSinceMillis = 0;
        List<Request> lost = requests.loseUnconfirmed();
        if (!lost.isEmpty()) {
            log.event("link-requests-lost", "peer", address, "cause", cause, "lost", idsOf(lost));
        }
        lost.forEach(request -> request.onLost.accept(true));
        abortReplaced();
    }

    private void settle(LinkAnswer answer) {
        SentCalls.Settlement<Request> settlement = requests.settle(answer);
        unsettledSinceMillis = 0;
        if (!settlement.isEmpty()) {
            log.event(
                    "link-settled",
                    "peer",
                    address,
                    "connection",
                    answer.connection(),
                    "firstConnection",
                    answer.firstConnection(),
                    "received",
                    idsOf(settlement.received()),
                    "sentAgain",
                    idsOf(settlement.notReceived()),
                    "lost",
                    idsOf(settlement.lost()));
        }
        settlement.lost().forEach(request -> request.onLost.accept(true));
        // A withdrawal that was sent on an earlier connection may not have arrived.
        settlement.received().stream().filter(request -> request.withdrawn).forEach(this::withdraw);
        settlement.notReceived().stream().filter(request -> request.withdrawn).forEach(this::withdraw);
        abortReplaced();
        if (isOpen()) {
            writeWaiting();
        }
    }

    /** Returns the number of requests and the ids of the first of them. */
    private static String idsOf(List<Request> requests) {
        List<String> ids = requests.stream()
                .limit(MAX_LOGGED_IDS)
                .map(request -> ForwardFrames.callId(request.frame))
                .toList();
        return requests.size() + " " + ids;
    }

    private void onEnded(Connection ended) {
        if (ended == current) {
            replace(ended);
        }
    }

    void close() {
        if (current != null) {
            current.channel.close();
        }
    }

    /** One connection; receives the peer's replies on it. */
    private final class Connection extends SimpleChannelInboundHandler<PeerFrame> {
        private Channel channel;
        private int number;
        /** Whether the peer has answered the first ping. */
        private boolean answered;

        private long lastReadMillis;
        /** When the ping without a reply was sent; 0 for none. */
        private long pingSentMillis;

        private void send(PeerFrame.Kind kind, long id, byte[] payload) {
            channel.writeAndFlush(new PeerFrame(kind, id, payload), channel.voidPromise());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            lastReadMillis = clock.nowMillis();
            pingSentMillis = 0;
            if (frame.kind() == PeerFrame.Kind.PONG) {
                onPong(frame);
                return;
            }
            Request request = requests.removeAnswered(frame.id());
            if (request != null) {
                request.onReply.accept(frame);
            }
        }

        private void onPong(PeerFrame frame) {
            if (answered || this != current) {
                return;
            }
            answered = true;
            LinkState state =
                    frame.payload().length == 0 ? new LinkState() : WireCodec.decode(frame.payload(), new LinkState());
            if (!state.isSetFirstConnection()) {
                loseUnsettled("peer of an earlier version");
            } else if (state.getConnection() == number) {
                settle(new LinkAnswer(number, state.getFirstConnection(), state.getReceived()));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            onEnded(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
