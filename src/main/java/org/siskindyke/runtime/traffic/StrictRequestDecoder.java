package org.siskindyke.runtime.traffic;

import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/**
 * Decodes requests and rejects those of ambiguous length, which would allow request smuggling. Reports what it holds to
 * a {@link Limiter}, which can pause it or refuse to hold more.
 *
 * <p>It copies what was read into buffers on the heap of no more than a few kilobytes, since a read buffer of the
 * transport, up to 64 KiB of direct memory, would be kept as a whole for a part of a line.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int PIECE_BYTES = 4_096;

    private final Limiter limiter;
    private final HeaderSectionScanner section = new HeaderSectionScanner();
    private ChannelHandlerContext context;
    private boolean decoding;

    /** Limits what a decoder holds. */
    interface Limiter {
        /** Returns whether no further request is decoded at present. */
        boolean isPaused();

        /** Returns whether all further bytes are dropped. */
        boolean ignoresInput();

        /** Returns the maximum length of the request line that is read now, without its end. */
        int maxRequestLineBytes();

        /** Returns the maximum length of the fields that are read now, without the ends of their lines. */
        int maxHeaderBytes();

        /**
         * Called for each request line and field that is about to be kept.
         *
         * @param length its number of characters
         * @throws NoRoomException if there is no room for it
         */
        void onLine(int length);

        /** Called after bytes have been decoded as far as possible, with the size of the buffer for the rest. */
        void onDecoded(int heldBytes);
    }

    /** There is no room for a part of a request. */
    static final class NoRoomException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        NoRoomException() {
            super("no memory left for requests", null, false, false);
        }
    }

    StrictRequestDecoder(HttpDecoderConfig config, Limiter limiter) {
        super(withCountedHeaders(config, limiter));
        this.limiter = limiter;
        setCumulator(StrictRequestDecoder::cumulate);
    }

    private static HttpDecoderConfig withCountedHeaders(HttpDecoderConfig config, Limiter limiter) {
        HttpHeadersFactory counted = new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new CountedHeaders(limiter);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return DefaultHttpHeadersFactory.headersFactory().newEmptyHeaders();
            }
        };
        return config.setHeadersFactory(counted).setTrailersFactory(counted);
    }

    /** Header fields that are reported before they are added. */
    private static final class CountedHeaders extends DefaultHttpHeaders {
        private final Limiter limiter;

        private CountedHeaders(Limiter limiter) {
            this.limiter = limiter;
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            limiter.onLine(name.length() + length(value));
            return super.add(name, value);
        }

        @Override
        public HttpHeaders add(String name, Object value) {
            limiter.onLine(name.length() + length(value));
            return super.add(name, value);
        }

        private static int length(Object value) {
            return value instanceof CharSequence text ? text.length() : 0;
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) throws Exception {
        context = added;
        super.handlerAdded(added);
    }

    @Override
    public void channelRead(ChannelHandlerContext readContext, Object message) throws Exception {
        ByteBuf bytes = (ByteBuf) message;
        try {
            while (bytes.isReadable() && !limiter.ignoresInput()) {
                int count = Math.min(PIECE_BYTES, bytes.readableBytes());
                decode(readContext, Unpooled.buffer(count, count).writeBytes(bytes, count));
            }
        } finally {
            bytes.release();
        }
    }

    private void decode(ChannelHandlerContext readContext, ByteBuf piece) throws Exception {
        decoding = true;
        try {
            super.channelRead(readContext, piece);
        } finally {
            decoding = false;
        }
        limiter.onDecoded(internalBuffer().capacity());
    }

    /** Decodes the bytes that were received while the decoder was paused. Called when it is no longer paused. */
    void resume() {
        if (decoding || !internalBuffer().isReadable()) {
            return;
        }
        try {
            decode(context, Unpooled.EMPTY_BUFFER);
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
    }

    /** Reads on only where the channel is to read: the superclass reads to complete a message also while paused. */
    @Override
    public void channelReadComplete(ChannelHandlerContext readContext) throws Exception {
        if (limiter.isPaused()) {
            readContext.fireChannelReadComplete();
        } else {
            super.channelReadComplete(readContext);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext readContext, ByteBuf in, List<Object> out) throws Exception {
        if (limiter.ignoresInput()) {
            in.skipBytes(in.readableBytes());
        } else if (!limiter.isPaused()) {
            decodeWithinLimits(readContext, in, out);
        }
    }

    private void decodeWithinLimits(ChannelHandlerContext readContext, ByteBuf in, List<Object> out) throws Exception {
        Optional<Exception> excess = section.read(in) ? excess() : Optional.empty();
        if (excess.isPresent()) {
            in.skipBytes(in.readableBytes());
            HttpMessage refused = createInvalidMessage();
            refused.setDecoderResult(DecoderResult.failure(excess.get()));
            out.add(refused);
            return;
        }
        int position = in.readerIndex();
        int decoded = out.size();
        super.decode(readContext, in, out);
        section.onDecoded(in.readerIndex() - position, out.subList(decoded, out.size()));
    }

    /** Returns what is wrong with the length of the header section as far as it was read. */
    private Optional<Exception> excess() {
        if (section.startLineBytes() > limiter.maxRequestLineBytes()) {
            return Optional.of(new TooLongHttpLineException("request line is too long"));
        }
        if (section.fieldsBytes() > limiter.maxHeaderBytes()) {
            return Optional.of(new TooLongHttpHeaderException("header fields are too long"));
        }
        return section.hasTooManyFoldedLines()
                ? Optional.of(new IllegalArgumentException("too many folded lines"))
                : Optional.empty();
    }

    private static ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf held, ByteBuf received) {
        if (!held.isReadable()) {
            held.release();
            return received;
        }
        if (!received.isReadable()) {
            received.release();
            return held;
        }
        if (held.refCnt() == 1 && received.readableBytes() <= held.writableBytes()) {
            held.writeBytes(received);
            received.release();
            return held;
        }
        int length = held.readableBytes() + received.readableBytes();
        ByteBuf merged = Unpooled.buffer(length + length / 2);
        merged.writeBytes(held).writeBytes(received);
        held.release();
        received.release();
        return merged;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        limiter.onLine(initialLine[1].length());
        return super.createMessage(initialLine);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
    }
}
