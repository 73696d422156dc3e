package org.siskindyke.runtime.traffic;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import org.siskindyke.runtime.call.Header;

/**
 * Encodes and decodes frames. A frame has four bytes for the length of the rest, one for the kind, four for the id,
 * three for the length of the compressed fields, the compressed fields and the payload.
 */
final class PeerFrameCodec extends ByteToMessageCodec<PeerFrame> {
    private static final int LENGTH_BYTES = 4;
    private static final int FIELDS_LENGTH_BYTES = 3;
    private static final int HEADER_BYTES = 5 + FIELDS_LENGTH_BYTES;
    /** Longest frame that is accepted; {@link RequestMemory} refuses bodies for which it has no room. */
    static final int MAX_FRAME_BYTES = 9 * 1024 * 1024;

    /** Longest frame on a connection whose opener has not named itself; has room for the ids of 10,000 calls. */
    private static final int MAX_UNNAMED_FRAME_BYTES = 64 * 1024;

    private final FieldCompression compression = new FieldCompression();
    private final HeldBytesListener heldBytesListener;
    private int maxFrameBytes;

    /** Receives the size of the buffer that holds an incomplete frame, 0 for none. */
    @FunctionalInterface
    interface HeldBytesListener {
        /** Called after bytes have been decoded as far as possible. */
        void onHeld(int bytes);
    }

    /** Creates the codec of a connection to a router that this one has chosen. */
    PeerFrameCodec() {
        this(MAX_FRAME_BYTES, bytes -> {});
        compression.onNamed();
    }

    private PeerFrameCodec(int maxFrameBytes, HeldBytesListener heldBytesListener) {
        this.maxFrameBytes = maxFrameBytes;
        this.heldBytesListener = heldBytesListener;
    }

    /** Creates the codec of an accepted connection, which accepts short frames only until {@link #onNamed}. */
    static PeerFrameCodec ofAccepted(HeldBytesListener heldBytesListener) {
        return new PeerFrameCodec(MAX_UNNAMED_FRAME_BYTES, heldBytesListener);
    }

    /** Accepts long frames from now on, since the opener is a router. */
    void onNamed() {
        maxFrameBytes = MAX_FRAME_BYTES;
        compression.onNamed();
    }

    @Override
    protected void encode(ChannelHandlerContext context, PeerFrame frame, ByteBuf out) {
        int start = out.writerIndex();
        out.writeInt(0);
        out.writeByte(frame.kind().ordinal());
        out.writeInt((int) frame.id());
        out.writeMedium(0);
        int fieldsStart = out.writerIndex();
        if (!frame.fields().isEmpty()) {
            compression.encode(frame.fields(), out);
        }
        out.setMedium(fieldsStart - FIELDS_LENGTH_BYTES, out.writerIndex() - fieldsStart);
        out.writeBytes(frame.payload());
        out.setInt(start, out.writerIndex() - start - LENGTH_BYTES);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        decodeFrame(in, out);
        heldBytesListener.onHeld(in.isReadable() ? in.capacity() : 0);
    }

    private void decodeFrame(ByteBuf in, List<Object> out) {
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < HEADER_BYTES || length > maxFrameBytes) {
            throw new CorruptedFrameException("invalid frame length: " + length + " bytes");
        }
        if (in.readableBytes() < LENGTH_BYTES + length) {
            return;
        }
        in.skipBytes(LENGTH_BYTES);
        out.add(read(in.readSlice(length)));
    }

    private PeerFrame read(ByteBuf in) {
        PeerFrame.Kind kind = PeerFrame.Kind.of(in.readByte());
        if (kind == null) {
            throw new CorruptedFrameException("unknown frame kind");
        }
        long id = in.readUnsignedInt();
        int fieldsLength = in.readUnsignedMedium();
        if (fieldsLength > in.readableBytes()) {
            throw new CorruptedFrameException("length of fields exceeds the frame: " + fieldsLength + " bytes");
        }
        List<Header> fields = fieldsLength == 0 ? List.of() : compression.decode(in.readSlice(fieldsLength));
        byte[] payload = new byte[in.readableBytes()];
        in.readBytes(payload);
        return new PeerFrame(kind, id, fields, payload);
    }
}
