package org.siskindyke.runtime.traffic;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.siskindyke.kernel.route.CallerLimits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A connection on a channel whose other end reads when the test says so. */
class HttpServerConnectionTest {
    private static final byte[] BODY = new byte[10_000];
    private static final InetSocketAddress CALLER = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private final AtomicLong nowMillis = new AtomicLong(1_000_000);
    private final TrafficLoop traffic = new TrafficLoop();
    private final HttpListener listener =
            new HttpListener(traffic, nowMillis::get, () -> CallerLimits.DEFAULT, HttpServerConnectionTest::respond);
    private final SlowChannel channel = new SlowChannel();
    private final HttpServerConnection connection =
            new HttpServerConnection(listener, nowMillis::get, HttpServerConnectionTest::respond, channel);

    /** A channel that keeps what is written until the other end reads. */
    private static final class SlowChannel extends EmbeddedChannel {
        private boolean reading;

        @Override
        protected void doWrite(ChannelOutboundBuffer in) throws Exception {
            if (reading) {
                super.doWrite(in);
            }
        }

        @Override
        protected SocketAddress remoteAddress0() {
            return CALLER;
        }

        /** Lets the other end read what was written and returns it. */
        private String readAll() {
            reading = true;
            flush();
            ByteBuf all = Unpooled.buffer();
            for (ByteBuf part = readOutbound(); part != null; part = readOutbound()) {
                all.writeBytes(part);
                part.release();
            }
            return all.toString(StandardCharsets.US_ASCII);
        }
    }

    private static Cancellable respond(HttpExchange.Request request, HttpExchange.Responder responder) {
        responder.respond(new HttpExchange.Response(200, List.of(), BODY));
        return Cancellable.NONE;
    }

    private void receiveRequest() {
        receiveRequest(connection, "/");
    }

    private void receiveRequest(HttpServerConnection receiver, String target) {
        StrictRequestDecoder decoder = new StrictRequestDecoder(new HttpDecoderConfig(), receiver);
        receiver.setDecoder(decoder);
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), receiver);
        String request = "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
        channel.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
    }

    private static void assertWhole(String response) {
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        assertEquals(BODY.length, response.length() - response.indexOf("\r\n\r\n") - "\r\n\r\n".length());
    }

    /** Guards against responses that are cut when the idle connections of a router that stops are closed. */
    @Example
    void aConnectionWhoseCallerIsReadingAResponseIsNotIdle() {
        receiveRequest();
        assertEquals(1, connection.unanswered());
        connection.closeIfIdle();
        assertTrue(channel.isOpen());
        assertWhole(channel.readAll());
        assertEquals(0, connection.unanswered());
        connection.closeIfIdle();
        assertFalse(channel.isOpen());
    }

    /** Guards against responses that are cut when a router that stops closes its connections. */
    @Example
    void aConnectionIsClosedOnceItsLastResponseIsSent() {
        receiveRequest();
        connection.closeAfterResponses();
        assertTrue(channel.isOpen());
        assertWhole(channel.readAll());
        assertFalse(channel.isOpen());
    }

    /** Guards against memory for long targets that is not counted while their callers do not read the responses. */
    @Example
    void onlyTheStartOfALongTargetIsKept() {
        HttpServerConnection unanswered =
                new HttpServerConnection(listener, nowMillis::get, (request, responder) -> Cancellable.NONE, channel);
        receiveRequest(unanswered, "/" + "x".repeat(3_000));
        nowMillis.addAndGet(70);
        UnsentResponses unsent = unanswered.unsentResponses().orElseThrow();
        assertEquals("/" + "x".repeat(127), unsent.firstTarget());
        assertEquals(70, unsent.firstMillis());
        assertEquals(1, unsent.unanswered());
        assertEquals(0, unsent.ready());
    }

    @AfterTry
    void closeLoop() {
        channel.close();
        traffic.close();
    }
}
