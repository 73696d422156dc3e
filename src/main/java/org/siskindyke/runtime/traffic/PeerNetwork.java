package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.control.PeerMessenger;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.ControlThread;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.runtime.peer.WireCodec;
import org.siskindyke.runtime.peer.WireMapper;
import org.siskindyke.wire.LinkState;

/**
 * Exchanges calls and control messages with other routers. Each router opens one connection to each other one for its
 * own requests. Control messages may be sent on any thread; their callbacks run on the control thread.
 */
public final class PeerNetwork implements PeerMessenger {
    /** Time after which an unanswered control message counts as lost; {@link MemberController} sends new ones. */
    private static final long CONTROL_TIMEOUT_MILLIS = 1_000;
    /** How long after its deadline a forwarded call still accepts its reply. */
    private static final long LATE_REPLY_GRACE_MILLIS = 2_000;

    private static final long TIMEOUT_CHECK_MILLIS = 100;
    private static final byte[] EMPTY_PAYLOAD = {};

    /** Delay after which a call that found no memory may be sent again. */
    private static final long NO_MEMORY_RETRY_MILLIS = 500;

    private final TrafficLoop traffic;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final BackendDispatcher dispatcher;
    private final EventLog log;
    private final Map<InetSocketAddress, PeerLink> links = new HashMap<>();
    /** Links that take no new requests. */
    private final List<PeerLink> exhausted = new ArrayList<>();

    private final InboundSessions sessions;
    private final UnnamedConnections unnamed = new UnnamedConnections(ConnectionLimits.PEERS.accepted());
    private MemberController controller;

    /** Creates the network; {@link #attach} and {@link #listen} complete it. */
    public PeerNetwork(
            TrafficLoop traffic,
            ControlThread control,
            MonotonicClock clock,
            BackendDispatcher dispatcher,
            EventLog log) {
        this.traffic = traffic;
        this.control = control;
        this.clock = clock;
        this.dispatcher = dispatcher;
        this.log = log;
        this.sessions = new InboundSessions(traffic, clock, log);
    }

    /** Sets the recipient of control messages. Called before {@link #listen}, and afterwards on the control thread. */
    public void attach(MemberController memberController) {
        controller = memberController;
    }

    /**
     * Starts to accept connections of other routers.
     *
     * @throws SiskindykeException with code {@code ADDRESS_UNAVAILABLE}
     */
    public void listen(InetSocketAddress address) {
        ChannelInitializer<Channel> initializer = new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                InboundHandler handler = new InboundHandler(channel);
                channel.pipeline().addLast(handler.codec, handler);
            }
        };
        traffic.listen(address, initializer, ConnectionLimits.PEERS);
        traffic.scheduleWithFixedDelay(
                () -> {
                    long nowMillis = clock.nowMillis();
                    List.copyOf(links.values()).forEach(link -> link.checkTimeouts(nowMillis));
                    List.copyOf(exhausted).forEach(link -> link.checkTimeouts(nowMillis));
                    closeIdle(exhausted);
                    sessions.tick(nowMillis);
                },
                TIMEOUT_CHECK_MILLIS);
    }

    private PeerLink link(MemberAddress address) {
        InetSocketAddress socket = new InetSocketAddress(address.host(), address.peerPort());
        PeerLink link = links.computeIfAbsent(socket, a -> new PeerLink(traffic, clock, a, log));
        if (!link.isExhausted()) {
            return link;
        }
        exhausted.add(link);
        PeerLink successor = new PeerLink(traffic, clock, socket, log);
        links.put(socket, successor);
        return successor;
    }

    private static void closeIdle(List<PeerLink> links) {
        links.stream().filter(PeerLink::isIdle).forEach(PeerLink::close);
        links.removeIf(PeerLink::isIdle);
    }

    /**
     * Forwards a call to the router beside its target. Called on the traffic loop.
     *
     * @param call the call
     * @param to the router to forward it to
     * @param hops the number of routers that the call has passed
     * @param onReply receives the reply
     * @return cancels the call
     */
    Cancellable forward(Call call, MemberRow to, int hops, Consumer<Reply> onReply) {
        PeerLink link = link(to.address());
        PeerFrame frame = ForwardFrames.request(call, to.id(), hops, clock.nowMillis());
        long timeoutMillis = call.remainingMillis(clock.nowMillis()) + LATE_REPLY_GRACE_MILLIS;
        if (link.isStalled() && call.scheduling().movable()) {
            onReply.accept(Reply.notRun(Refusal.OWNER_UNREACHABLE, 0));
            return Cancellable.NONE;
        }
        PeerLink.Request request = link.sendRequest(
                frame,
                timeoutMillis,
                reply -> onReply.accept(decodeReply(reply)),
                sent -> onReply.accept(
                        sent ? Reply.mayHaveRun(Refusal.ANSWER_LOST) : Reply.notRun(Refusal.OWNER_UNREACHABLE, 0)));
        return new Cancellable() {
            @Override
            public void cancel() {
                if (link.dropRequest(request)) {
                    link.sendAbout(request, PeerFrame.Kind.CANCEL);
                }
            }

            @Override
            public void withdraw() {
                link.withdraw(request);
            }

            @Override
            public boolean mayHaveRun() {
                return request.mayHaveArrived();
            }
        };
    }

    private Reply decodeReply(PeerFrame frame) {
        try {
            return ForwardFrames.readReply(frame);
        } catch (SiskindykeException e) {
            log.event("peer-reply-unreadable", "cause", e.getMessage());
            return Reply.mayHaveRun(Refusal.ANSWER_LOST);
        }
    }

    @Override
    public void renew(MemberRow to, Renewal renewal, Consumer<RenewalReply> onReply) {
        sendRequest(to, PeerFrame.Kind.RENEW, WireMapper.encode(renewal), frame -> {
            RenewalReply reply = WireMapper.decodeRenewalReply(frame.payload());
            control.execute(() -> onReply.accept(reply));
        });
    }

    @Override
    public void gossip(MemberRow to, Gossip gossip, Consumer<Gossip> onReply) {
        sendRequest(to, PeerFrame.Kind.GOSSIP, WireMapper.encodeGossipRequest(gossip), frame -> {
            Gossip reply = WireMapper.decodeGossip(to.id(), frame.payload());
            control.execute(() -> onReply.accept(reply));
        });
    }

    @Override
    public void requestUsage(MemberRow to, ServiceName service, Consumer<TargetUsage> onReply) {
        sendRequest(
                to,
                PeerFrame.Kind.USAGE,
                WireMapper.encodeUsageRequest(service),
                frame -> WireMapper.decodeUsage(frame.payload())
                        .ifPresent(u -> control.execute(() -> onReply.accept(u))));
    }

    @Override
    public void release(MemberRow to, Release release) {
        byte[] payload = WireMapper.encode(release);
        traffic.execute(() -> link(to.address()).sendOneWay(PeerFrame.Kind.RELEASE, 0, payload));
    }

    private void sendRequest(MemberRow to, PeerFrame.Kind kind, byte[] payload, Consumer<PeerFrame> onReply) {
        traffic.execute(() -> link(to.address())
                .sendRequest(
                        new PeerFrame(kind, 0, payload),
                        CONTROL_TIMEOUT_MILLIS,
                        reply -> readOrDrop(reply, onReply),
                        sent -> {}));
    }

    /** Lets a reader process a message; one that it cannot read is logged and has no other effect. */
    private void readOrDrop(PeerFrame frame, Consumer<PeerFrame> reader) {
        try {
            reader.accept(frame);
        } catch (SiskindykeException e) {
            log.event("peer-message-unreadable", "kind", frame.kind(), "cause", e.getMessage());
        }
    }

    /** Closes the connections that this router has opened to others. Called on the traffic loop. */
    public void close() {
        links.values().forEach(PeerLink::close);
        exhausted.forEach(PeerLink::close);
    }

    /** A call that another router has forwarded, from its receipt to its reply. */
    private final class ForwardedCall implements Cancellable {
        private final long frameId;
        private final Call call;
        private final InboundSession receiver;
        private final CallerMemory.Share memory;
        private Cancellable work = Cancellable.NONE;
        private boolean cancelled;
        private boolean withdrawn;

        private ForwardedCall(long frameId, Call call, InboundSession receiver, CallerMemory.Share memory) {
            this.frameId = frameId;
            this.call = call;
            this.receiver = receiver;
            this.memory = memory;
        }

        private void submit() {
            if (cancelled) {
                return;
            }
            work = dispatcher.submit(call, reply -> {
                memory.end();
                receiver.reply(ForwardFrames.reply(frameId, call.id(), reply), clock.nowMillis());
            });
            if (withdrawn) {
                work.withdraw();
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
            memory.end();
            work.cancel();
        }

        @Override
        public void withdraw() {
            withdrawn = true;
            work.withdraw();
        }
    }

    /** Handles the messages that another router sends on its connection to this one. */
    private final class InboundHandler extends SimpleChannelInboundHandler<PeerFrame> implements CallerMemory.Holder {
        private final Channel channel;
        private final PeerFrameCodec codec = PeerFrameCodec.ofAccepted(this::onHeld);
        private final CallerMemory.Share incomplete = traffic.callerMemory().open(this);
        private final long acceptedMillis = clock.nowMillis();
        private InboundSession session;
        /** Whether the other router has named its connection, so that another one may replace it. */
        private boolean named;

        private InboundHandler(Channel channel) {
            this.channel = channel;
            this.session = new InboundSession(channel, traffic.callerMemory());
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            unnamed.add(channel);
        }

        /** Counts an incomplete frame until a router has named the connection; closes it if there is no room. */
        private void onHeld(int bytes) {
            if (!named && !incomplete.resize(bytes)) {
                channel.close();
            }
        }

        @Override
        public long sheddableBytes() {
            return incomplete.bytes();
        }

        @Override
        public long waitingSinceMillis() {
            return acceptedMillis;
        }

        @Override
        public void shed() {
            incomplete.end();
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            if (!session.isOn(context.channel())) {
                // Another connection has replaced this one, and its opener was told what had been received.
                return;
            }
            if (frame.kind().isRequest() && !session.receive(frame.id())) {
                log.event("peer-request-repeated", "kind", frame.kind(), "request", ForwardFrames.callId(frame));
                return;
            }
            switch (frame.kind()) {
                case FORWARD -> onForward(frame);
                case CANCEL -> session.cancel(frame.id());
                case WITHDRAW -> session.withdraw(frame.id());
                case PING -> onPing(context, frame);
                case RENEW, GOSSIP, RELEASE, USAGE ->
                    control.execute(() -> readOrDrop(frame, message -> onControl(context, message)));
                default -> log.event("peer-frame-unexpected", "kind", frame.kind());
            }
        }

        private void onPing(ChannelHandlerContext context, PeerFrame frame) {
            if (frame.payload().length == 0) {
                reply(context, PeerFrame.Kind.PONG, frame.id(), EMPTY_PAYLOAD);
                return;
            }
            named = true;
            unnamed.remove(channel);
            incomplete.end();
            codec.onNamed();
            ReceiveWindow.enlarge(channel, ReceiveWindow.PEER_BUFFER_BYTES);
            session = sessions.open(WireCodec.decode(frame.payload(), new LinkState()), context.channel());
        }

        private void onForward(PeerFrame frame) {
            InboundSession receiver = session;
            Call call;
            try {
                call = ForwardFrames.readRequest(frame, clock.nowMillis());
            } catch (SiskindykeException e) {
                log.event("peer-message-unreadable", "kind", frame.kind(), "cause", e.getMessage());
                receiver.reply(
                        ForwardFrames.reply(frame.id(), null, Reply.notRun(Refusal.NO_SERVICE, 0)), clock.nowMillis());
                return;
            }
            CallerMemory.Share memory = traffic.callerMemory().open();
            if (!memory.resize(HttpServerConnection.requestBytes(call.headers(), call.body().length))) {
                memory.end();
                receiver.reply(
                        ForwardFrames.reply(
                                frame.id(), call.id(), Reply.notRun(Refusal.QUEUE_FULL, NO_MEMORY_RETRY_MILLIS)),
                        clock.nowMillis());
                return;
            }
            ForwardedCall forwarded = new ForwardedCall(frame.id(), call, receiver, memory);
            receiver.onRunning(frame.id(), forwarded);
            traffic.executeOnceRead(forwarded::submit);
        }

        private void onControl(ChannelHandlerContext context, PeerFrame frame) {
            if (controller == null) {
                return;
            }
            switch (frame.kind()) {
                case RENEW ->
                    reply(
                            context,
                            PeerFrame.Kind.RENEW_REPLY,
                            frame.id(),
                            WireMapper.encode(controller.onRenewal(WireMapper.decodeRenewal(frame.payload()))));
                case GOSSIP ->
                    reply(
                            context,
                            PeerFrame.Kind.GOSSIP_REPLY,
                            frame.id(),
                            WireMapper.encodeGossipResponse(
                                    controller.onGossip(WireMapper.decodeGossip(frame.payload()))));
                case USAGE ->
                    reply(
                            context,
                            PeerFrame.Kind.USAGE_REPLY,
                            frame.id(),
                            WireMapper.encode(controller.usage(WireMapper.decodeUsageRequest(frame.payload()))));
                default -> controller.onRelease(WireMapper.decodeRelease(frame.payload()));
            }
        }

        private void reply(ChannelHandlerContext context, PeerFrame.Kind kind, long id, byte[] payload) {
            send(context, new PeerFrame(kind, id, payload));
        }

        private void send(ChannelHandlerContext context, PeerFrame frame) {
            context.channel().writeAndFlush(frame, context.channel().voidPromise());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            unnamed.remove(channel);
            incomplete.end();
            if (named) {
                sessions.onConnectionEnded(session, context.channel());
            } else {
                session.end(clock.nowMillis());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.event("peer-connection-failed", "cause", String.valueOf(cause.getMessage()));
            context.close();
        }
    }
}
