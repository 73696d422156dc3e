package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.siskindyke.kernel.call.SchedulingAttributes;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Header;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PeerFrameCodecTest {
    @Example
    void aFrameThatArrivesByteByByteIsDecodedAsItWasSent() {
        EmbeddedChannel out = new EmbeddedChannel(new PeerFrameCodec());
        byte[] payload = {1, 2, 3};
        out.writeOutbound(new PeerFrame(PeerFrame.Kind.FORWARD, 77, payload));
        ByteBuf bytes = out.readOutbound();
        EmbeddedChannel in = new EmbeddedChannel(new PeerFrameCodec());
        while (bytes.isReadable()) {
            in.writeInbound(bytes.readRetainedSlice(1));
        }
        PeerFrame frame = in.readInbound();
        assertEquals(77, frame.id());
        assertEquals(PeerFrame.Kind.FORWARD, frame.kind());
        assertArrayEquals(payload, frame.payload());
    }

    /** Guards against connections that anybody may open and that collect long frames without end. */
    @Example
    void anAcceptedConnectionTakesLongFramesOnlyOnceItIsNamed() {
        PeerFrame longFrame = new PeerFrame(PeerFrame.Kind.FORWARD, 1, new byte[100_000]);
        EmbeddedChannel out = new EmbeddedChannel(new PeerFrameCodec());
        out.writeOutbound(longFrame, longFrame);
        ByteBuf first = out.readOutbound();
        EmbeddedChannel unnamed = new EmbeddedChannel(PeerFrameCodec.ofAccepted(bytes -> {}));
        assertThrows(DecoderException.class, () -> unnamed.writeInbound(first));
        List<Integer> held = new ArrayList<>();
        PeerFrameCodec codec = PeerFrameCodec.ofAccepted(held::add);
        EmbeddedChannel named = new EmbeddedChannel(codec);
        codec.onNamed();
        ByteBuf second = out.readOutbound();
        named.writeInbound(second.readRetainedSlice(90_000));
        assertTrue(held.get(held.size() - 1) >= 90_000, held.toString());
        named.writeInbound(second);
        assertEquals(0, held.get(held.size() - 1));
        PeerFrame frame = named.readInbound();
        assertEquals(100_000, frame.payload().length);
    }

    @Example
    void fieldsArriveInTheirOrderAndSpelling() {
        List<Header> fields = List.of(
                new Header(":call", "9c41d07be2a35f68"),
                new Header("X-Some-Field", "a"),
                new Header("x-some-field", "b"),
                new Header("X-Empty", ""));
        EmbeddedChannel out = new EmbeddedChannel(new PeerFrameCodec());
        out.writeOutbound(new PeerFrame(PeerFrame.Kind.FORWARD, 0xFFFF_FFFFL, fields, new byte[] {7}));
        EmbeddedChannel in = new EmbeddedChannel(new PeerFrameCodec());
        in.writeInbound((ByteBuf) out.readOutbound());
        PeerFrame frame = in.readInbound();
        assertEquals(fields, frame.fields());
        assertEquals(0xFFFF_FFFFL, frame.id());
        assertArrayEquals(new byte[] {7}, frame.payload());
    }

    /**
     * Guards against a request or a response that ends the connection between two routers, with all requests on it,
     * since it has many short fields.
     */
    @Example
    void asManyFieldsAsARequestMayHaveArrive() {
        List<Header> fields = Collections.nCopies(HttpListener.MAX_HEADER_BYTES / 2, new Header("a", ""));
        PeerFrameCodec codec = PeerFrameCodec.ofAccepted(bytes -> {});
        codec.onNamed();
        for (EmbeddedChannel in : List.of(new EmbeddedChannel(new PeerFrameCodec()), new EmbeddedChannel(codec))) {
            EmbeddedChannel out = new EmbeddedChannel(new PeerFrameCodec());
            out.writeOutbound(new PeerFrame(PeerFrame.Kind.FORWARD, 1, fields, new byte[0]));
            in.writeInbound((ByteBuf) out.readOutbound());
            PeerFrame frame = in.readInbound();
            assertEquals(fields, frame.fields());
        }
    }

    /** Calls have small bodies; what costs most about them is their traffic between failure domains. */
    @Example
    void aForwardedCallTakesUnderAHundredBytesBesideItsBodyOnceTheFieldsAreKnown() {
        EmbeddedChannel out = new EmbeddedChannel(new PeerFrameCodec());
        int lastBytes = 0;
        for (int i = 0; i < 200; i++) {
            out.writeOutbound(ForwardFrames.request(call(i), MemberId.of("member-1"), 1, 0));
            ByteBuf bytes = out.readOutbound();
            lastBytes = bytes.readableBytes();
            bytes.release();
        }
        assertTrue(lastBytes < 100, "a forwarded call takes " + lastBytes + " bytes");
    }

    /** The monotonic clocks of the two routers differ by 4 s, and the deadline is converted from one to the other. */
    @Example
    void aForwardedCallIsReadAsItWasSent() {
        PeerFrame frame = ForwardFrames.request(call(3), MemberId.of("member-1"), 1, 1_000);
        Call read = ForwardFrames.readRequest(frame, 5_000);
        assertEquals(call(3).headers(), read.headers());
        assertEquals(call(3).id(), read.id());
        assertEquals(call(3).key(), read.key());
        assertEquals(call(3).target(), read.target());
        assertEquals(call(3).deadlineMillis() + 4_000, read.deadlineMillis());
        assertEquals("lookup", read.scheduling().kind());
        assertEquals(call(3).caller(), read.caller());
        assertEquals(call(3).fingerprint(), read.fingerprint());
    }

    private static Call call(int number) {
        ServiceName service = ServiceName.of("records");
        return new Call(
                String.format("%016x", number * 0x9E37_79B9_7F4AL),
                ClientAccount.of("catalogue"),
                service,
                Integer.toString(number * 331 % 65_536),
                new SliceRef(service, number % 128),
                "GET",
                "/lepu270/" + Integer.toHexString(number),
                List.of(
                        new Header("Host", "jepu9.example"),
                        new Header("Accept", "*/*"),
                        new Header("X-Siskindyke-Caller-Service", "catalogue")),
                new byte[0],
                10_000 + number,
                true,
                new SchedulingAttributes("lookup", 2, 2_000 + number, false, false, false));
    }

    @Property(tries = 2_000, seed = "45")
    void randomBytesAreDecodedOrRejectedWithADecoderException(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] bytes = new byte[random.nextInt(64)];
        random.nextBytes(bytes);
        EmbeddedChannel in = new EmbeddedChannel(new PeerFrameCodec());
        try {
            in.writeInbound(Unpooled.wrappedBuffer(bytes));
        } catch (DecoderException e) {
            return;
        }
        for (PeerFrame frame = in.readInbound(); frame != null; frame = in.readInbound()) {
            assertEquals(frame.kind(), PeerFrame.Kind.of(frame.kind().ordinal()));
        }
    }
}
