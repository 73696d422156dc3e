package org.siskindyke.runtime.traffic;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.peer.WireCodec;
import org.siskindyke.wire.LinkState;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Sends requests between two routers while connections end or fall silent and either router restarts at its address.
 * Requests that are reported as lost are sent again.
 */
class PeerRepliesTest {
    private static final int SEEDS = 8;
    private static final int STEPS = 120;
    private static final int STEP_MILLIS = 5;
    private static final int MAX_WORK_MILLIS = 40;
    private static final int MAX_ATTEMPTS = 5;
    private static final long TIMEOUT_MILLIS = 30_000;
    /** Some ids below the one from which on a link takes no new requests. */
    private static final long NEARLY_EXHAUSTED = 0xFFF0_0000L - 20;

    private final TrafficLoop loop = new TrafficLoop();
    private final EventLog log = new EventLog("peer", new PrintStream(OutputStream.nullOutputStream()));
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Wire> wires = new ArrayList<>();
    private final Set<String> executed = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private long currentSeed;
    /** Decides the steps; the times that requests take come from another generator, so that they change no step. */
    private Random random;

    private Random workTimes;
    private InetSocketAddress address;
    private InboundSessions sessions;
    private PeerLink link;
    private int replies;

    /** One sending of a request. */
    private final class Attempt {
        private final int request;
        private final int number;
        private final long seed = currentSeed;
        private final PeerLink sentOn = link;
        private boolean ended;

        private Attempt(int request, int number) {
            this.request = request;
            this.number = number;
        }

        private void send() {
            attempts.add(this);
            sentOn.sendRequest(
                    new PeerFrame(PeerFrame.Kind.FORWARD, 0, text().getBytes(StandardCharsets.UTF_8)),
                    2 * TIMEOUT_MILLIS,
                    reply -> end(new String(reply.payload(), StandardCharsets.UTF_8)),
                    arrived -> end(null));
        }

        private void end(String replyText) {
            check(!ended, "a second outcome of " + text());
            ended = true;
            if (replyText == null) {
                if (number < MAX_ATTEMPTS) {
                    new Attempt(request, number + 1).send();
                }
            } else {
                replies++;
                check(replyText.equals(text()), "the reply to " + replyText + " as that to " + text());
            }
        }

        private String text() {
            return "seed " + seed + " request " + request + " attempt " + number;
        }
    }

    /** A connection that drops what passes it in a direction in which it is silent. */
    private final class Wire extends ChannelDuplexHandler {
        private ChannelHandlerContext context;
        private boolean silentIn;
        private boolean silentOut;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
            wires.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ignored, Object message) {
            if (!silentIn) {
                context.fireChannelRead(message);
            }
        }

        @Override
        public void write(ChannelHandlerContext ignored, Object message, ChannelPromise promise) {
            if (!silentOut) {
                context.write(message, promise);
            }
        }
    }

    /** Runs each request for a while and replies with its payload. */
    private final class Peer extends SimpleChannelInboundHandler<PeerFrame> {
        private final InboundSessions process = sessions;
        private InboundSession session = new InboundSession(null, loop.callerMemory());

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            if (frame.kind() == PeerFrame.Kind.PING && frame.payload().length > 0) {
                session = process.open(WireCodec.decode(frame.payload(), new LinkState()), context.channel());
            } else if (frame.kind() == PeerFrame.Kind.PING) {
                context.writeAndFlush(new PeerFrame(PeerFrame.Kind.PONG, 0, new byte[0]));
            } else if (session.isOn(context.channel()) && session.receive(frame.id())) {
                run(session, frame);
            }
        }

        private void run(InboundSession receiver, PeerFrame frame) {
            String text = new String(frame.payload(), StandardCharsets.UTF_8);
            check(executed.add(text), "a second run of " + text);
            PeerFrame reply = new PeerFrame(PeerFrame.Kind.FORWARD_REPLY, frame.id(), frame.payload());
            receiver.onRunning(
                    frame.id(),
                    loop.schedule(() -> receiver.reply(reply, nowMillis()), workTimes.nextInt(MAX_WORK_MILLIS)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            process.onConnectionEnded(session, context.channel());
        }
    }

    @AfterTry
    void stop() {
        loop.close();
    }

    private static long nowMillis() {
        return SystemMonotonicClock.INSTANCE.nowMillis();
    }

    private void check(boolean holds, String violation) {
        if (!holds) {
            violations.add(violation);
        }
    }

    /** Guards against a reply that reaches another request, or another attempt, than the one that it answers. */
    @Example
    void aReplyReachesOnlyTheAttemptThatItAnswersWhateverHappensToRoutersAndConnections() throws Exception {
        sessions = newSessions();
        Channel listening = loop.listen(
                new InetSocketAddress("127.0.0.1", 0),
                new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        accepted.pipeline().addLast(new PeerFrameCodec(), new Wire(), new Peer());
                    }
                },
                ConnectionLimits.PEERS);
        address = (InetSocketAddress) listening.localAddress();
        loop.scheduleWithFixedDelay(() -> link.checkTimeouts(nowMillis()), 20);
        for (long seed = 0; seed < SEEDS; seed++) {
            CompletableFuture<Void> done = new CompletableFuture<>();
            long current = seed;
            loop.execute(() -> start(current, done));
            done.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertTrue(violations.isEmpty(), () -> "seed " + current + ": " + violations.get(0));
            assertTrue(replies > 0, "no reply with seed " + seed);
        }
    }

    private void start(long seed, CompletableFuture<Void> done) {
        currentSeed = seed;
        random = new Random(seed);
        workTimes = new Random(seed);
        attempts.clear();
        executed.clear();
        replies = 0;
        link = newLink();
        step(0, done);
    }

    private InboundSessions newSessions() {
        return new InboundSessions(loop, SystemMonotonicClock.INSTANCE, log);
    }

    private PeerLink newLink() {
        return new PeerLink(
                loop, SystemMonotonicClock.INSTANCE, address, log, random.nextInt(4) == 0 ? NEARLY_EXHAUSTED : 1);
    }

    private void step(int number, CompletableFuture<Void> done) {
        if (number == STEPS) {
            wires.forEach(wire -> wire.context.close());
            wires.clear();
            endOnceAllHaveOutcomes(nowMillis() + TIMEOUT_MILLIS, done);
            return;
        }
        switch (random.nextInt(24)) {
            case 0, 1 -> closeConnection();
            case 2 -> wires.forEach(wire -> wire.silentIn = true);
            case 3 -> wires.forEach(wire -> wire.silentOut = true);
            case 4 -> sessions = newSessions();
            case 5 -> {
                sessions = newSessions();
                closeConnection();
            }
            case 6 -> {
                PeerLink ended = link;
                link = newLink();
                ended.close();
            }
            default -> new Attempt(attempts.size(), 1).send();
        }
        loop.schedule(() -> step(number + 1, done), random.nextInt(STEP_MILLIS));
    }

    private void closeConnection() {
        if (!wires.isEmpty()) {
            wires.get(wires.size() - 1).context.close();
        }
    }

    /** Waits for the outcomes of the attempts of the last link; the process that made the others has ended. */
    private void endOnceAllHaveOutcomes(long endMillis, CompletableFuture<Void> done) {
        List<String> open = attempts.stream()
                .filter(attempt -> attempt.sentOn == link && !attempt.ended)
                .map(Attempt::text)
                .toList();
        if (open.isEmpty() || nowMillis() > endMillis) {
            check(open.isEmpty(), "no outcome of " + open);
            done.complete(null);
        } else {
            loop.schedule(() -> endOnceAllHaveOutcomes(endMillis, done), STEP_MILLIS);
        }
    }
}
