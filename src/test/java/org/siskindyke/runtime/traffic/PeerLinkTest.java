package org.siskindyke.runtime.traffic;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

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

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Open connections between routers fall silent for good, while new ones work. */
class PeerLinkTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final String LOST = "lost, may have arrived: ";

    private final TrafficLoop loop = new TrafficLoop();
    private final List<Silencer> connections = new ArrayList<>();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    private final AtomicInteger runs = new AtomicInteger();
    /** Connections on which a message has arrived at the peer. */
    private final AtomicInteger connectionsRead = new AtomicInteger();

    private final BlockingQueue<String> cancelled = new LinkedBlockingQueue<>();
    private final EventLog log = new EventLog("peer", new PrintStream(OutputStream.nullOutputStream()));
    private InboundSessions sessions = new InboundSessions(loop, SystemMonotonicClock.INSTANCE, log);
    private long workMillis;
    /** Index of a connection whose messages to the peer are held back from its start; -1 for none. */
    private int silentInFrom = -1;
    /** Index of a connection whose messages from the peer are dropped from its start; -1 for none. */
    private int silentOutFrom = -1;

    private final AtomicInteger closedConnections = new AtomicInteger();
    private boolean closesConnections;
    private PeerLink link;

    /** Holds back what passes a connection in either direction while it is silent. */
    private final class Silencer extends ChannelDuplexHandler {
        private final List<Object> held = new ArrayList<>();
        private ChannelHandlerContext context;
        private boolean hasRead;
        private boolean silentIn;
        private boolean silentOut;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
            silentIn = silentInFrom == connections.size();
            silentOut = silentOutFrom == connections.size();
            connections.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ignored, Object message) {
            if (!hasRead) {
                hasRead = true;
                connectionsRead.incrementAndGet();
            }
            if (silentIn) {
                held.add(message);
            } else {
                context.fireChannelRead(message);
            }
        }

        @Override
        public void write(ChannelHandlerContext ignored, Object message, ChannelPromise promise) {
            if (!silentOut) {
                context.write(message, promise);
            }
        }

        private void deliverHeld() {
            held.forEach(context::fireChannelRead);
        }
    }

    /** Runs each call for a while and replies with its payload. */
    private final class Peer extends SimpleChannelInboundHandler<PeerFrame> {
        private InboundSession session = new InboundSession(null, loop.callerMemory());

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            if (frame.kind() == PeerFrame.Kind.PING) {
                if (frame.payload().length > 0) {
                    session = sessions.open(WireCodec.decode(frame.payload(), new LinkState()), context.channel());
                } else {
                    context.writeAndFlush(new PeerFrame(PeerFrame.Kind.PONG, 0, new byte[0]));
                }
                return;
            }
            if (session.isOn(context.channel())) {
                if (frame.kind() == PeerFrame.Kind.CANCEL) {
                    session.cancel(frame.id());
                } else if (frame.kind() == PeerFrame.Kind.WITHDRAW) {
                    session.withdraw(frame.id());
                } else if (session.receive(frame.id())) {
                    run(session, frame);
                }
            }
        }

        private void run(InboundSession receiver, PeerFrame frame) {
            runs.incrementAndGet();
            PeerFrame reply = new PeerFrame(PeerFrame.Kind.FORWARD_REPLY, frame.id(), frame.payload());
            Cancellable work =
                    loop.schedule(() -> receiver.reply(reply, SystemMonotonicClock.INSTANCE.nowMillis()), workMillis);
            receiver.onRunning(frame.id(), new Cancellable() {
                @Override
                public void cancel() {
                    cancelled.add(new String(frame.payload()));
                    work.cancel();
                }

                @Override
                public void withdraw() {
                    cancelled.add("withdrawn");
                }
            });
        }
    }

    private void start() throws InterruptedException {
        Channel listening = loop.listen(
                new InetSocketAddress("127.0.0.1", 0),
                new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        if (closesConnections) {
                            closedConnections.incrementAndGet();
                            accepted.close();
                        } else {
                            accepted.pipeline().addLast(new PeerFrameCodec(), new Silencer(), new Peer());
                        }
                    }
                },
                ConnectionLimits.PEERS);
        link = new PeerLink(loop, SystemMonotonicClock.INSTANCE, (InetSocketAddress) listening.localAddress(), log);
        loop.scheduleWithFixedDelay(() -> link.checkTimeouts(SystemMonotonicClock.INSTANCE.nowMillis()), 20);
        send("first");
        assertEquals("first", outcome());
    }

    @AfterTry
    void stop() {
        loop.close();
    }

    private PeerLink.Request send(String text) throws InterruptedException {
        PeerLink.Request[] sent = new PeerLink.Request[1];
        onLoop(() -> sent[0] = link.sendRequest(
                new PeerFrame(PeerFrame.Kind.FORWARD, 0, text.getBytes()),
                TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS),
                reply -> outcomes.add(new String(reply.payload())),
                arrived -> outcomes.add(LOST + arrived)));
        return sent[0];
    }

    /** Cancels a request as {@link PeerNetwork#forward} does. */
    private void cancel(PeerLink.Request request) {
        if (link.dropRequest(request)) {
            link.sendAbout(request, PeerFrame.Kind.CANCEL);
        }
    }

    /** Sends a call that takes longer than the test, and waits until it runs. */
    private PeerLink.Request sendLongCall(String text) throws InterruptedException {
        workMillis = TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
        int before = runs.get();
        PeerLink.Request request = send(text);
        awaitRuns(before + 1);
        onLoop(() -> workMillis = 0);
        return request;
    }

    /** Sends a call, closes its connection while it runs, and waits until the peer has read the next connection. */
    private void sendAndResetAmidWork(String text) throws InterruptedException {
        send(text);
        awaitRuns(2);
        onLoop(() -> connections.get(0).context.close());
        awaitConnections(2);
    }

    private void awaitRuns(int count) {
        await(() -> runs.get() >= count);
    }

    /** Waits until the first message of a number of connections has been handled or held back. */
    private void awaitConnections(int count) throws InterruptedException {
        await(() -> connectionsRead.get() >= count);
        onLoop(() -> {});
    }

    private static void await(BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNanos);
        }
    }

    private String nextCancelled() throws InterruptedException {
        return cancelled.poll(TIMEOUT_SECONDS / 2, TimeUnit.SECONDS);
    }

    private void onLoop(Runnable action) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            action.run();
            done.countDown();
        });
        assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    private String outcome() throws InterruptedException {
        return outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against requests that reached no server and are answered as if they may have run. */
    @Example
    void aRequestThatWasNotReceivedIsSentAgainOnANewConnectionAndRunsOnce() throws InterruptedException {
        start();
        onLoop(() -> connections.get(0).silentIn = true);
        send("second");
        assertEquals("second", outcome());
        assertEquals(2, runs.get());
        assertEquals(2, connections.size());
    }

    /** What arrives late on a connection that was replaced is not run, since it was sent again. */
    @Example
    void aRequestThatArrivesLateOnAReplacedConnectionDoesNotRunAgain() throws InterruptedException {
        start();
        onLoop(() -> connections.get(0).silentIn = true);
        send("second");
        assertEquals("second", outcome());
        onLoop(() -> connections.get(0).deliverHeld());
        send("third");
        assertEquals("third", outcome());
        assertEquals(3, runs.get());
    }

    @Example
    void aReplyThatWasLostIsSentAgainOnTheNewConnection() throws InterruptedException {
        start();
        onLoop(() -> connections.get(0).silentOut = true);
        send("second");
        assertEquals("second", outcome());
        assertEquals(2, runs.get());
    }

    @Example
    void aRequestThatStillRunsIsAnsweredOnTheNewConnection() throws InterruptedException {
        start();
        workMillis = 1_500;
        onLoop(() -> connections.get(0).silentOut = true);
        send("second");
        assertEquals("second", outcome());
        assertEquals(2, runs.get());
    }

    @Example
    void aReplySurvivesTheEndOfItsConnection() throws InterruptedException {
        start();
        workMillis = 400;
        send("second");
        onLoop(() -> connections.get(0).context.close());
        assertEquals("second", outcome());
        assertEquals(2, runs.get());
    }

    /** Guards against work that goes on for a caller that has left, as its cancellation was lost with a connection. */
    @Example
    void aCallCancelledOnASilentConnectionIsCancelledOnTheNewOne() throws InterruptedException {
        start();
        PeerLink.Request abandoned = sendLongCall("abandoned");
        onLoop(() -> connections.get(0).silentIn = true);
        onLoop(() -> cancel(abandoned));
        send("next");
        assertEquals("next", outcome());
        assertEquals("abandoned", nextCancelled());
    }

    /** Guards against the same where no connection was open to send the cancellation on. */
    @Example
    void aCallCancelledWhileNoConnectionIsOpenIsCancelledOnTheNewOne() throws InterruptedException {
        start();
        PeerLink.Request abandoned = sendLongCall("abandoned");
        PeerLink.Request kept = sendLongCall("kept");
        onLoop(() -> {
            link.close();
            cancel(abandoned);
        });
        assertEquals("abandoned", nextCancelled());
        assertTrue(kept.mayHaveArrived());
        assertEquals(0, cancelled.size());
    }

    /** Guards against orders that ran twice after connections had been reset several times in a row. */
    @Example
    void aCallRunsOnceThoughTheAnswerToTheFirstQuestionAboutItIsLost() throws InterruptedException {
        start();
        workMillis = 1_000;
        silentOutFrom = 1;
        sendAndResetAmidWork("order");
        onLoop(() -> link.close());
        onLoop(() -> {});
        send("next");
        assertEquals(Set.of("order", "next"), Set.of(outcome(), outcome()));
        assertEquals(3, runs.get());
    }

    /** Guards against calls at work that are cancelled, as a question named the calls of the last connection only. */
    @Example
    void callsOfEachEarlierConnectionAreAnsweredAfterTheLastOneWasReset() throws InterruptedException {
        start();
        workMillis = 1_000;
        silentOutFrom = 1;
        sendAndResetAmidWork("of the first connection");
        send("of the second connection");
        awaitRuns(3);
        onLoop(() -> connections.get(1).context.close());
        assertEquals("of the first connection", outcome());
        assertEquals("of the second connection", outcome());
        assertEquals(3, runs.get());
        assertEquals(0, cancelled.size());
    }

    /** Guards against a session that moves back to a dead connection, whose first message was read last. */
    @Example
    void aConnectionWhoseFirstMessageIsReadAfterThatOfItsSuccessorIsNotUsed() throws InterruptedException {
        start();
        workMillis = 1_000;
        silentInFrom = 1;
        sendAndResetAmidWork("order");
        send("late");
        onLoop(() -> link.close());
        awaitConnections(3);
        onLoop(() -> connections.get(1).deliverHeld());
        assertEquals("order", outcome());
        assertEquals("late", outcome());
        assertEquals(3, runs.get());
        assertEquals(0, cancelled.size());
    }

    /** Guards against a caller that waits in vain, as the reply was lost with a connection after the call's own. */
    @Example
    void aReplyThatWasLostOnALaterConnectionIsSentAgain() throws InterruptedException {
        start();
        workMillis = 600;
        silentOutFrom = 1;
        sendAndResetAmidWork("order");
        onLoop(() -> workMillis = 0);
        send("quick");
        awaitRuns(3);
        onLoop(() -> connections.get(1).context.close());
        assertEquals("quick", outcome());
        assertEquals("order", outcome());
        assertEquals(3, runs.get());
    }

    /** Guards against a call that waits at a peer until the router which stops has ended. */
    @Example
    void aCallWithdrawnOnASilentConnectionIsWithdrawnOnTheNewOne() throws InterruptedException {
        start();
        PeerLink.Request waiting = sendLongCall("waiting");
        onLoop(() -> connections.get(0).silentIn = true);
        onLoop(() -> link.withdraw(waiting));
        send("next");
        assertEquals("next", outcome());
        assertEquals("withdrawn", nextCancelled());
    }

    /** Guards against a call that is sent again although the router which stops has withdrawn it. */
    @Example
    void aWithdrawnCallThatHasNotArrivedIsNotSentAgain() throws InterruptedException {
        start();
        onLoop(() -> connections.get(0).silentIn = true);
        PeerLink.Request waiting = send("waiting");
        onLoop(() -> link.withdraw(waiting));
        assertEquals(LOST + false, outcome());
        assertEquals(1, runs.get());
    }

    /** Guards against a router that spends its time on connections which the other end closes at once. */
    @Example
    void connectionsThatEndUnansweredAreNotReplacedAtOnceForEver() throws InterruptedException {
        start();
        workMillis = TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
        send("order");
        awaitRuns(2);
        onLoop(() -> {
            closesConnections = true;
            connections.get(0).context.close();
        });
        assertEquals(LOST + true, outcome());
        assertTrue(closedConnections.get() < 60, closedConnections::toString);
    }

    /** Guards against ids of which the peer reads only the lowest 32 bits. */
    @Example
    void aLinkWhoseIdsAreNearlyUsedUpIsReplaced() {
        long nearLast = 0xFFFF_FF00L;
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        assertTrue(new PeerLink(loop, SystemMonotonicClock.INSTANCE, address, log, nearLast).isExhausted());
        assertFalse(new PeerLink(loop, SystemMonotonicClock.INSTANCE, address, log).isExhausted());
    }

    /** A new process of the peer cannot tell what the earlier one has received. */
    @Example
    void aRequestToAPeerThatHasRestartedIsLost() throws InterruptedException {
        start();
        onLoop(() -> {
            connections.get(0).silentIn = true;
            sessions = new InboundSessions(loop, SystemMonotonicClock.INSTANCE, log);
        });
        send("second");
        assertEquals(LOST + true, outcome());
        assertEquals(1, runs.get());
    }
}
