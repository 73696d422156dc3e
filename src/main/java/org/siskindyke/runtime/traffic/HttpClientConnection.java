package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.siskindyke.kernel.input.NumberField;
import org.siskindyke.runtime.call.Header;

/**
 * A connection to a server that carries one request at a time, and each request once.
 *
 * <p>Where the request has an id, only a response that names it is taken for its response; another one, or one that
 * names no request, is dropped and the connection ends after the request. As a server may write a response once more at
 * any later time, and the id does not tell the runs of a request apart, a request that is sent again needs another
 * connection, see {@link #mayCarry}. Bytes that arrive while there is no request close the connection, as does a
 * response without end or without an HTTP status. Confined to the traffic loop.
 */
final class HttpClientConnection extends ChannelInboundHandlerAdapter {
    /** Largest body of a response that is collected. */
    static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    /** Parts in which a body may arrive, since each costs processor time however small it is. */
    private static final int MAX_BODY_PARTS = 65_536;
    /** Responses that are skipped while one is awaited: interim ones and those that name another request. */
    private static final int MAX_SKIPPED_RESPONSES = 16;

    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int CHUNK_BYTES = 16_384;
    private static final int CONTINUE = 100;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;
    private static final String KEEP_ALIVE = "keep-alive";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");
    private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d+)");
    /** An announced idle timeout; one that is out of range counts as not announced. */
    private static final NumberField TIMEOUT_SECONDS = NumberField.ofMessage("timeout", 0, 999_999);

    private static final long MILLIS_PER_SECOND = 1_000;

    private final ResponseDialect dialect;
    private final CarriedRequests carried = new CarriedRequests();
    private final long number;
    private final ConnectionObserver observer;
    private final Runnable onIdle;
    private final ResponseMemory memory;
    private Channel channel;
    private Exchange exchange;
    /** Whether the connection has carried a request to whose response alone the rule for {@code HEAD} applies. */
    private boolean carriedHead;

    /** Whether more bytes were received with the part of a response that was decoded last. */
    private boolean hasBytesBehind;

    private HttpResponse head;
    private ByteBuf body;
    private int bodyParts;
    private int skippedResponses;
    private boolean broken;
    private boolean reusable = true;
    private boolean idleCallbackDue;
    private long keepAliveMillis;
    private long idleSinceMillis;

    /**
     * Creates a connection that is not established yet.
     *
     * @param number the connection's number in its pool
     * @param dialect tells to which request a response belongs
     * @param memory limits the memory for partly received responses
     * @param observer receives events of the connection
     * @param onIdle runs when the connection can take another request
     */
    HttpClientConnection(
            long number, ResponseDialect dialect, ResponseMemory memory, ConnectionObserver observer, Runnable onIdle) {
        this.number = number;
        this.dialect = dialect;
        this.observer = observer;
        this.memory = memory;
        this.onIdle = onIdle;
    }

    /** The request in flight. */
    private record Exchange(String requestId, boolean isHead, HttpClientPool.ResponseListener listener) {}

    /** Returns the handlers of the connection's channel, this one last. */
    ChannelHandler[] handlers() {
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(CHUNK_BYTES);
        return new ChannelHandler[] {strayBytesGuard(), new HttpRequestEncoder(), new Decoder(config), this};
    }

    /**
     * Decodes responses. Responses to a {@code HEAD} request have no body, whatever their header fields say; Netty's
     * own client codec no longer knows the method once an interim response has come.
     */
    private final class Decoder extends HttpResponseDecoder {
        private final HeaderSectionScanner section = new HeaderSectionScanner();

        private Decoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
            if (section.read(in) && section.hasTooManyFoldedLines()) {
                in.skipBytes(in.readableBytes());
                HttpMessage refused = createInvalidMessage();
                refused.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("too many folded lines")));
                out.add(refused);
                return;
            }
            int position = in.readerIndex();
            int decoded = out.size();
            super.decode(context, in, out);
            section.onDecoded(in.readerIndex() - position, out.subList(decoded, out.size()));
            hasBytesBehind = in.isReadable();
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return exchange != null && exchange.isHead() || super.isContentAlwaysEmpty(message);
        }
    }

    void send(FullHttpRequest request, String requestId, HttpClientPool.ResponseListener listener) {
        exchange = new Exchange(requestId, request.method().equals(HttpMethod.HEAD), listener);
        skippedResponses = 0;
        carried.add(requestId);
        carriedHead |= exchange.isHead();
        channel.writeAndFlush(request, channel.voidPromise());
    }

    private ConnectionObserver.Connection state() {
        return new ConnectionObserver.Connection(number, carried.count(), carried.lastId());
    }

    boolean isUsable() {
        return reusable && channel != null && channel.isActive();
    }

    /**
     * Returns whether a request may be sent on this connection: not where it was sent here before, whatever came of it,
     * since a late copy of that response could not be told from the one to the request sent again.
     */
    boolean mayCarry(String requestId) {
        return !carried.contains(requestId);
    }

    /** Returns the idle timeout that the server has announced, or 0 for none. */
    long keepAliveMillis() {
        return keepAliveMillis;
    }

    void setIdleSince(long nowMillis) {
        idleSinceMillis = nowMillis;
    }

    long idleSinceMillis() {
        return idleSinceMillis;
    }

    /** Closes the connection without reporting an outcome. */
    void closeSilently() {
        exchange = null;
        reusable = false;
        if (channel != null) {
            channel.close();
        }
    }

    /** Closes the connection and reports a request in flight as lost. */
    void abort(String cause) {
        if (!broken && channel != null) {
            onConnectionEnded(cause);
        }
    }

    private void onConnectionEnded(String cause) {
        fail(head == null ? ResponseLoss.CONNECTION_LOST : ResponseLoss.TRUNCATED, cause);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (broken) {
                return;
            }
            if (exchange == null) {
                failOnStrayBytes();
                return;
            }
            if (message instanceof HttpResponse response) {
                onHead(response);
            }
            if (message instanceof HttpContent content && head != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /**
     * Returns a handler to put before the decoder. It closes the connection on bytes that arrive while there is no
     * request, even if they are only a part of a response, which the decoder would keep and complete later.
     */
    private ChannelInboundHandlerAdapter strayBytesGuard() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (exchange == null && !broken) {
                    ReferenceCountUtil.release(message);
                    failOnStrayBytes();
                } else {
                    context.fireChannelRead(message);
                }
            }
        };
    }

    private void failOnStrayBytes() {
        observer.onStrayBytes(state());
        fail(ResponseLoss.BAD_RESPONSE, "received bytes without a request");
    }

    private void onHead(HttpResponse response) {
        if (response.decoderResult().cause() instanceof PrematureChannelClosureException) {
            fail(ResponseLoss.TRUNCATED, "connection closed amid the header section");
            return;
        }
        if (response.decoderResult().isFailure()) {
            fail(ResponseLoss.BAD_RESPONSE, "malformed response");
            return;
        }
        if (containsStatusLine(response)) {
            fail(ResponseLoss.BAD_RESPONSE, "two responses in one header section");
            return;
        }
        if (!hasStatus(response) && !namesOther(response)) {
            // The request may have run, whatever else the response says.
            fail(
                    ResponseLoss.BAD_RESPONSE,
                    "no HTTP status: " + response.status().code());
            return;
        }
        head = response;
        body = Unpooled.buffer();
        bodyParts = 0;
    }

    /** Returns whether a response has a status, of an interim response or a final one. */
    private static boolean hasStatus(HttpResponse response) {
        int status = response.status().code();
        return status >= CONTINUE && status <= LAST_STATUS;
    }

    /** Returns whether a response names another request than the awaited one. */
    private boolean namesOther(HttpResponse response) {
        String namedId = dialect.answeredRequestId(headers(response));
        return exchange.requestId() != null && namedId != null && !namedId.equals(exchange.requestId());
    }

    private static List<Header> headers(HttpResponse response) {
        List<Header> headers = new ArrayList<>(response.headers().size());
        for (Map.Entry<String, String> field : response.headers()) {
            headers.add(new Header(field.getKey(), field.getValue()));
        }
        return headers;
    }

    /**
     * Returns whether a response broke off amid its status line or a field, and the next one follows: the status, or
     * some fields, are then not those of the response that the other fields belong to.
     */
    private static boolean containsStatusLine(HttpResponse response) {
        return STATUS_LINE.matcher(response.status().reasonPhrase()).find()
                || response.headers().entries().stream()
                        .anyMatch(field -> STATUS_LINE.matcher(field.getValue()).find());
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail(ResponseLoss.BAD_RESPONSE, "malformed response body");
            return;
        }
        ByteBuf bytes = content.content();
        if (body.readableBytes() + (long) bytes.readableBytes() > MAX_BODY_BYTES) {
            fail(ResponseLoss.BAD_RESPONSE, "response body longer than " + MAX_BODY_BYTES + " bytes");
            return;
        }
        bodyParts++;
        if (bodyParts > MAX_BODY_PARTS) {
            fail(ResponseLoss.BAD_RESPONSE, "response body in more than " + MAX_BODY_PARTS + " parts");
            return;
        }
        if (!memory.reserve(bytes.readableBytes())) {
            fail(ResponseLoss.BAD_RESPONSE, "no memory left for partly received responses of this server");
            return;
        }
        body.writeBytes(bytes);
        if (content instanceof LastHttpContent) {
            onResponseComplete();
        }
    }

    private void onResponseComplete() {
        HttpResponse response = head;
        byte[] bytes = ByteBufUtil.getBytes(body);
        discardPartialResponse();
        int status = response.status().code();
        if (status >= CONTINUE && status < FIRST_FINAL_STATUS) {
            skipResponse();
            return;
        }
        List<Header> headers = headers(response);
        if (exchange.requestId() != null) {
            if (!namesAwaited(headers)) {
                onOtherResponse(dialect.answeredRequestId(headers), status);
                return;
            }
            if (holdsAnotherResponse(bytes)) {
                fail(ResponseLoss.BAD_RESPONSE, "the response broke off and another one fills its body");
                return;
            }
            reusable &= !carried.isFull();
        }
        // The decoder would complete them as the response to the next request.
        reusable &= !hasBytesBehind;
        reusable &= dialect.isGenuine(status, headers);
        updateKeepAlive(response);
        Exchange ended = exchange;
        exchange = null;
        idleCallbackDue = true;
        ended.listener().onResponse(status, headers, bytes, !channel.isActive());
    }

    private boolean holdsAnotherResponse(byte[] content) {
        Header idField = dialect.requestIdField(exchange.requestId());
        return EmbeddedResponse.isIn(Unpooled.wrappedBuffer(content), hasBytesBehind, idField);
    }

    private boolean namesAwaited(List<Header> headers) {
        return exchange.requestId().equals(dialect.answeredRequestId(headers));
    }

    private void onOtherResponse(String namedId, int status) {
        observer.onResponseDropped(state(), namedId, status);
        reusable = false;
        if (carriedHead) {
            fail(ResponseLoss.BAD_RESPONSE, "cannot tell where a response to another request ends");
        } else {
            skipResponse();
        }
    }

    private void skipResponse() {
        skippedResponses++;
        if (skippedResponses > MAX_SKIPPED_RESPONSES) {
            fail(ResponseLoss.BAD_RESPONSE, "more than " + MAX_SKIPPED_RESPONSES + " other responses");
        }
    }

    private void updateKeepAlive(HttpResponse response) {
        reusable &= HttpUtil.isKeepAlive(response) && HttpUtil.isContentLengthSet(response)
                || HttpUtil.isKeepAlive(response) && HttpUtil.isTransferEncodingChunked(response);
        String announced = response.headers().get(KEEP_ALIVE);
        if (announced == null) {
            return;
        }
        Matcher timeout = TIMEOUT.matcher(announced);
        if (timeout.find()) {
            keepAliveMillis = TIMEOUT_SECONDS.tryParse(timeout.group(1)).orElse(0) * MILLIS_PER_SECOND;
        }
    }

    /** Offers the connection for reuse once all received bytes are read, since some may belong to no request. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (!idleCallbackDue) {
            return;
        }
        idleCallbackDue = false;
        if (isUsable()) {
            onIdle.run();
        } else if (hasBytesBehind && !broken) {
            failOnStrayBytes();
        } else {
            context.close();
        }
    }

    private void discardPartialResponse() {
        head = null;
        if (body != null) {
            memory.release(body.readableBytes());
            body.release();
            body = null;
        }
    }

    /** Closes the connection and reports the request in flight, if there is one, as lost. */
    private void fail(ResponseLoss loss, String cause) {
        broken = true;
        reusable = false;
        discardPartialResponse();
        channel.close();
        Exchange ended = exchange;
        exchange = null;
        if (ended != null) {
            ended.listener().onLost(loss, cause);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!broken) {
            onConnectionEnded("connection closed");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!broken) {
            onConnectionEnded("connection failed: " + cause.getMessage());
        }
    }
}
