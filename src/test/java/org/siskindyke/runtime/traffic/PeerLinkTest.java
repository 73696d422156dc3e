package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.peer.WireCodec;
import org.siskindyke.wire.LinkState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Open connections between routers fall silent for good, while new ones work. */
class PeerLinkTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final String LOST = "lost, may have arrived: ";

    private final TrafficLoop loop = new TrafficLoop();
    private final List<Silencer> connections = new ArrayList<>();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    private final AtomicInteger runs = new AtomicInteger();
    private final BlockingQueue<String> cancelled = new LinkedBlockingQueue<>();
    private InboundSessions sessions = new InboundSessions(loop, SystemMonotonicClock.INSTANCE);
    private long workMillis;
    private PeerLink link;

    /** Holds back what passes a connection in either direction while it is silent. */
    private final class Silencer extends ChannelDuplexHandler {
        private final List<Object> held = new ArrayList<>();
        private ChannelHandlerContext context;
        private boolean silentIn;
        private boolean silentOut;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
            connections.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ignored, Object message) {
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
        private InboundSession session = new InboundSession(null);

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
                session.onReceived(frame.id());
                if (frame.kind() == PeerFrame.Kind.CANCEL) {
                    session.cancel(frame.id());
                } else {
                    run(session, frame);
                }
            }
        }

        private void run(InboundSession receiver, PeerFrame frame) {
            runs.incrementAndGet();
            PeerFrame reply = new PeerFrame(PeerFrame.Kind.FORWARD_REPLY, frame.id(), frame.payload());
            Cancellable work =
                    loop.schedule(() -> receiver.reply(reply, SystemMonotonicClock.INSTANCE.nowMillis()), workMillis);
            receiver.onRunning(frame.id(), () -> {
                cancelled.add(new String(frame.payload()));
                work.cancel();
            });
        }
    }

    private void start() throws InterruptedException {
        Channel listening = loop.listen(new InetSocketAddress("127.0.0.1", 0), new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel accepted) {
                accepted.pipeline().addLast(new PeerFrameCodec(), new Silencer(), new Peer());
            }
        });
        link = new PeerLink(loop, SystemMonotonicClock.INSTANCE, (InetSocketAddress) listening.localAddress());
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
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (runs.get() == before) {
            assertTrue(System.nanoTime() < endNanos);
        }
        onLoop(() -> workMillis = 0);
        return request;
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

    /** A new process of the peer cannot tell what the earlier one has received. */
    @Example
    void aRequestToAPeerThatHasRestartedIsLost() throws InterruptedException {
        start();
        onLoop(() -> {
            connections.get(0).silentIn = true;
            sessions = new InboundSessions(loop, SystemMonotonicClock.INSTANCE);
        });
        send("second");
        assertEquals(LOST + true, outcome());
        assertEquals(1, runs.get());
    }
}
