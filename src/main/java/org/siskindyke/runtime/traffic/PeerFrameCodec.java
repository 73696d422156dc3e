package org.siskindyke.runtime.traffic;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;

/** Frames on the wire: four bytes for the length of the rest, one for the kind, eight for the id, the payload. */
final class PeerFrameCodec extends ByteToMessageCodec<PeerFrame> {
    private static final int LENGTH_BYTES = 4;
    private static final int HEAD_BYTES = 9;
    /** Longest frame: a body of the longest accepted size, with header fields. */
    private static final int MAX_FRAME_BYTES = 9 * 1024 * 1024;

    @Override
    protected void encode(ChannelHandlerContext context, PeerFrame frame, ByteBuf out) {
        out.writeInt(HEAD_BYTES + frame.payload().length);
        out.writeByte(frame.kind().ordinal());
        out.writeLong(frame.id());
        out.writeBytes(frame.payload());
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < HEAD_BYTES || length > MAX_FRAME_BYTES) {
            throw new CorruptedFrameException("frame of " + length + " bytes");
        }
        if (in.readableBytes() < LENGTH_BYTES + length) {
            return;
        }
        in.skipBytes(LENGTH_BYTES);
        PeerFrame.Kind kind = PeerFrame.Kind.of(in.readByte());
        long id = in.readLong();
        byte[] payload = new byte[length - HEAD_BYTES];
        in.readBytes(payload);
        if (kind == null) {
            throw new CorruptedFrameException("unknown kind of frame");
        }
        out.add(new PeerFrame(kind, id, payload));
    }
}
