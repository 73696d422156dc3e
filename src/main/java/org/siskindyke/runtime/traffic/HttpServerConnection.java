package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Header;

/**
 * A connection to an {@link HttpListener}: reads pipelined requests ahead, up to a limit, and writes responses in
 * order. Confined to the traffic loop.
 */
final class HttpServerConnection extends ChannelInboundHandlerAdapter {
    /**
     * Unanswered requests on one connection from which on the socket is not read. Requests in bytes that were read
     * before are still handled.
     */
    private static final int MAX_UNANSWERED = 32;

    /**
     * How long input is read and dropped after the last response. A request that the caller sends before that response
     * reaches it arrives within this time.
     */
    private static final long LINGER_MILLIS = 1_000;

    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    /** Refuses a request for whose body there is no memory now. */
    private static final HttpExchange.Response NO_MEMORY =
            new HttpExchange.Response(UNAVAILABLE, List.of(new Header("Retry-After", "0.5")), new byte[0]);

    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_LARGE = 413;
    private static final int URI_TOO_LONG = 414;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final HttpListener listener;
    private final MonotonicClock clock;
    private final HttpExchange.Handler handler;
    private final Channel channel;
    private final Deque<Exchange> exchanges = new ArrayDeque<>();
    private HttpRequest head;
    private CompositeByteBuf body;
    private RequestMemory.Reservation bodyMemory;
    /** When the header section of the partly read request was complete, or its body was asked for. */
    private long bodyAwaitedSinceMillis;

    /** Whether the caller waits to be asked for the body of the partly read request. */
    private boolean continueDue;

    private long idleSinceMillis;
    private boolean ignoreInput;
    private boolean closeAfterLastResponse;

    HttpServerConnection(HttpListener listener, MonotonicClock clock, HttpExchange.Handler handler, Channel channel) {
        this.listener = listener;
        this.clock = clock;
        this.handler = handler;
        this.channel = channel;
        this.idleSinceMillis = clock.nowMillis();
        this.bodyAwaitedSinceMillis = idleSinceMillis;
    }

    /** A request that was read, and its response once there is one. */
    private static final class Exchange {
        private final boolean keepAlive;
        private final boolean headRequest;
        private final RequestMemory.Reservation bodyMemory;
        private HttpExchange.Response response;
        private Cancellable work = Cancellable.NONE;
        private boolean abandoned;

        private Exchange(boolean keepAlive, boolean headRequest, RequestMemory.Reservation bodyMemory) {
            this.keepAlive = keepAlive;
            this.headRequest = headRequest;
            this.bodyMemory = bodyMemory;
        }
    }

    int unanswered() {
        return exchanges.size();
    }

    /** Reads no further request and closes the connection after the responses to those that were read. */
    void closeAfterResponses() {
        ignoreInput = true;
        closeAfterLastResponse = true;
        discardPartialRequest();
        if (exchanges.isEmpty()) {
            channel.close();
        }
    }

    /** Closes the connection if no request on it was begun. */
    void closeIfIdle() {
        if (exchanges.isEmpty() && head == null) {
            channel.close();
        }
    }

    /** Resets the connection. */
    void abort() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    boolean isFrom(InetSocketAddress remote) {
        return remote.equals(channel.remoteAddress());
    }

    /** Sends bytes as they are, then closes the connection. */
    void closeAfter(byte[] bytes) {
        sendRaw(bytes).addListener(sent -> channel.close());
    }

    /** Sends bytes as they are. */
    ChannelFuture sendRaw(byte[] bytes) {
        return channel.pipeline().context(HttpResponseEncoder.class).writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    /**
     * Closes the connection if it has been idle for too long, or rejects a request whose body has not arrived within
     * the sum of the header and idle timeouts after its header section. Does neither while there are unanswered
     * requests. An incomplete header section counts as idle time.
     */
    void closeIfTooSlow(long nowMillis) {
        if (!exchanges.isEmpty() || ignoreInput) {
            return;
        }
        boolean reading = head != null;
        long allowedMillis = reading
                ? listener.limits().headerTimeoutMillis() + listener.limits().idleTimeoutMillis()
                : listener.limits().idleTimeoutMillis();
        long sinceMillis = reading ? bodyAwaitedSinceMillis : idleSinceMillis;
        if (nowMillis - sinceMillis > allowedMillis) {
            if (reading) {
                reject(REQUEST_TIMEOUT);
            } else {
                channel.close();
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (ignoreInput) {
                return;
            }
            if (message instanceof HttpRequest request) {
                onHead(request);
            }
            if (message instanceof HttpContent content && head != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            reject(statusOf(request.decoderResult()));
            return;
        }
        bodyAwaitedSinceMillis = clock.nowMillis();
        long announcedBytes = HttpUtil.getContentLength(request, 0L);
        if (announcedBytes > listener.limits().maxBodyBytes()) {
            reject(TOO_LARGE);
            return;
        }
        bodyMemory = listener.requestMemory().new Reservation();
        if (!bodyMemory.growTo(announcedBytes)) {
            reject(NO_MEMORY);
            return;
        }
        head = request;
        // The argument is the number of parts above which the buffer merges them; it does not limit the body.
        body = Unpooled.compositeBuffer(MAX_UNANSWERED * MAX_UNANSWERED);
        continueDue = HttpUtil.is100ContinueExpected(request);
        if (continueDue && exchanges.isEmpty()) {
            writeContinue();
            channel.flush();
        }
    }

    /** Asks for the body of the partly read request; called once all requests before it have responses. */
    private void writeContinue() {
        continueDue = false;
        bodyAwaitedSinceMillis = clock.nowMillis();
        channel.write(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE), channel.voidPromise());
    }

    private static int statusOf(DecoderResult result) {
        if (result.cause() instanceof TooLongHttpLineException) {
            return URI_TOO_LONG;
        }
        return result.cause() instanceof TooLongHttpHeaderException ? HEADERS_TOO_LARGE : BAD_REQUEST;
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(BAD_REQUEST);
            return;
        }
        ByteBuf bytes = content.content();
        long readBytes = body.readableBytes() + (long) bytes.readableBytes();
        if (readBytes > listener.limits().maxBodyBytes()) {
            reject(TOO_LARGE);
            return;
        }
        if (!bodyMemory.growTo(readBytes)) {
            reject(NO_MEMORY);
            return;
        }
        if (bytes.isReadable()) {
            body.addComponent(true, bytes.retain());
        }
        if (content instanceof LastHttpContent) {
            onRequestComplete();
        }
    }

    private void onRequestComplete() {
        HttpRequest request = head;
        byte[] bytes = ByteBufUtil.getBytes(body);
        Exchange exchange = new Exchange(
                HttpUtil.isKeepAlive(request), request.method().name().equals("HEAD"), bodyMemory);
        bodyMemory = null;
        discardPartialRequest();
        exchanges.add(exchange);
        if (!exchange.keepAlive) {
            ignoreInput = true;
        }
        List<Header> headers = new ArrayList<>(request.headers().size());
        for (Map.Entry<String, String> field : request.headers()) {
            headers.add(new Header(field.getKey(), field.getValue()));
        }
        HttpExchange.Request complete = new HttpExchange.Request(
                request.method().name(), request.uri(), headers, bytes, (InetSocketAddress) channel.remoteAddress());
        listener.executeOnceRead(() -> start(exchange, complete));
        if (exchanges.size() >= MAX_UNANSWERED) {
            channel.config().setAutoRead(false);
        }
    }

    /** Handles a request, unless its caller has left. */
    private void start(Exchange exchange, HttpExchange.Request request) {
        if (!exchange.abandoned && channel.isActive()) {
            exchange.work = handler.handle(request, response -> onResponse(exchange, response));
        }
    }

    /** Rejects input that is not an acceptable request; responses to requests before it are still sent. */
    private void reject(int status) {
        reject(HttpExchange.Response.empty(status));
    }

    private void reject(HttpExchange.Response response) {
        ignoreInput = true;
        discardPartialRequest();
        Exchange exchange = new Exchange(false, false, listener.requestMemory().new Reservation());
        exchanges.add(exchange);
        onResponse(exchange, response);
    }

    private void discardPartialRequest() {
        head = null;
        continueDue = false;
        if (body != null) {
            body.release();
            body = null;
        }
        if (bodyMemory != null) {
            bodyMemory.release();
            bodyMemory = null;
        }
    }

    private void onResponse(Exchange exchange, HttpExchange.Response response) {
        if (exchange.response != null || !channel.isActive()) {
            return;
        }
        exchange.response = response;
        boolean wrote = false;
        while (!exchanges.isEmpty() && exchanges.peek().response != null) {
            write(exchanges.remove());
            wrote = true;
        }
        if (wrote) {
            if (continueDue && exchanges.isEmpty()) {
                writeContinue();
            }
            channel.flush();
            idleSinceMillis = clock.nowMillis();
            if (exchanges.size() < MAX_UNANSWERED && !channel.config().isAutoRead()) {
                channel.config().setAutoRead(true);
            }
        }
    }

    private void write(Exchange exchange) {
        exchange.bodyMemory.release();
        HttpExchange.Response response = exchange.response;
        ByteBuf content = exchange.headRequest ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(response.body());
        FullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()), content);
        for (Header header : response.headers()) {
            message.headers().add(header.name(), header.value());
        }
        if (response.status() != NO_CONTENT && response.status() != NOT_MODIFIED) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        }
        boolean last = exchanges.isEmpty() && head == null;
        boolean close = !exchange.keepAlive || last && (listener.isClosing() || closeAfterLastResponse);
        if (close) {
            ignoreInput = true;
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.write(message).addListener(sent -> shutDownOutput());
            cancelUnanswered();
        } else {
            channel.write(message, channel.voidPromise());
        }
    }

    /** Shuts down output and reads on: closing with unread bytes would reset the connection and lose the response. */
    private void shutDownOutput() {
        if (channel instanceof DuplexChannel duplex && channel.isActive()) {
            duplex.shutdownOutput();
            channel.config().setAutoRead(true);
            channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }

    private void cancelUnanswered() {
        List<Exchange> rest = List.copyOf(exchanges);
        exchanges.clear();
        rest.forEach(e -> {
            e.abandoned = true;
            e.bodyMemory.release();
            e.work.cancel();
        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ignoreInput = true;
        discardPartialRequest();
        listener.onClosed(this);
        cancelUnanswered();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Only this connection has failed; channelInactive cancels its requests.
        context.close();
    }
}
