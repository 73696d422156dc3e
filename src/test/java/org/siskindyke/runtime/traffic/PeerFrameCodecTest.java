package org.siskindyke.runtime.traffic;

import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

class PeerFrameCodecTest {
    @Example
    void aFrameArrivesAsItWasSentWhateverThePieces() {
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

    @Property(tries = 2_000, seed = "45")
    void damagedFramesEndTheConnectionAndNothingElse(@ForAll long seed) {
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
