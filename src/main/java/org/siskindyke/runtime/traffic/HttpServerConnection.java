package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
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
 * order, each as far as the caller reads it. What it holds is counted in {@link CallerMemory}. Confined to the traffic
 * loop.
 */
final class HttpServerConnection extends ChannelInboundHandlerAdapter
        implements CallerMemory.Holder, StrictRequestDecoder.Limiter {
    /** Longest request line that is accepted whatever the limit on header fields is. */
    private static final int MIN_REQUEST_LINE_LIMIT_BYTES = 8_192;

    /** Heap for a connection that holds nothing else: the channel, its handlers and their buffers. */
    static final int CONNECTION_BYTES = 6_144;

    /** Unanswered requests on one connection from which on no further ones are decoded and the socket is not read. */
    private static final int MAX_UNANSWERED = 32;

    /** Heap for a request that waits or runs, or for a response, besides its fields and body. */
    private static final int EXCHANGE_BYTES = 4_096;
    /**
     * Heap for a request line or a field besides its characters: an entry, two texts, and their copies in the request
     * that is routed. Some 200 bytes were measured for a field of two characters.
     */
    private static final int LINE_BYTES = 320;
    /** Copies of the characters of a field that are held at a time. */
    private static final int LINE_COPIES = 2;
    /** Longer bodies of responses are written in parts, so that only one part is in direct memory. */
    private static final int RESPONSE_PART_BYTES = 16_384;

    /**
     * How long input is read and dropped after the last response. A request that the caller sends before that response
     * reaches it arrives within this time.
     */
    private static final long LINGER_MILLIS = 1_000;

    /** Characters of a request's target that are kept for logs until it is answered. */
    private static final int LOGGED_TARGET_LENGTH = 128;

    /** In place of the target of a request that was rejected before it was complete. */
    private static final String REJECTED = "rejected";

    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    /** Time after which the memory for a body that has not arrived is given to another one if there is no more. */
    private static final long SLOW_BODY_MILLIS = 2_000;

    /** Delay after which a request for which there is no memory may be sent again. */
    private static final long NO_MEMORY_RETRY_MILLIS = 500;

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
    private final CallerMemory.Share share;
    private final SendProgress sendProgress;
    private StrictRequestDecoder decoder;
    private HttpRequest head;
    private BodyBytes body;
    private RequestMemory.Reservation bodyMemory;
    /** Memory for the request line and the fields of the partly read request. */
    private long linesBytes;
    /** Longest line that was read; the decoder keeps a buffer of that size. */
    private int longestLine;
    /** Size of the decoder's buffer for bytes that are not decoded yet. */
    private int undecodedBytes;
    /**
     * Bytes that may wait in the socket beyond those of every connection, since its receive buffer is enlarged. Counted
     * until the connection ends, as a window that was announced stays.
     */
    private int enlargedBytes;
    /** Memory for the requests and responses in {@link #exchanges}. */
    private long exchangesBytes;
    /** When the first bytes of the partly read request came; -1 while there is none. */
    private long begunMillis = -1;
    /** Largest limit on header fields since the first bytes of the partly read request came. */
    private int headerLimitBytes;
    /** When bytes of a response were last accepted by the transport, or sent to a caller that reads slowly. */
    private long writtenMillis;
    /** Position in the body of the response that is partly written; -1 while none is. */
    private int partlyWritten = -1;

    private boolean writing;
    private boolean ended;
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
        this.writtenMillis = idleSinceMillis;
        this.share = listener.callerMemory().open(this);
        this.sendProgress = SendProgress.of(channel);
    }

    /** Sets the decoder in front of this handler. */
    void setDecoder(StrictRequestDecoder requestDecoder) {
        decoder = requestDecoder;
    }

    /** Reserves the memory for the connection itself; returns whether there is enough. */
    boolean reserve() {
        return share.resize(heldBytes());
    }

    /** The memory that is reserved for a body which has not arrived in full. It gives way if it takes long. */
    private final class UnfinishedBody implements CallerMemory.Holder {
        private final RequestMemory.Reservation reservation = listener.requestMemory().new Reservation(this);

        @Override
        public long sheddableBytes() {
            boolean awaited = reservation == bodyMemory && !continueDue;
            return awaited && clock.nowMillis() - bodyAwaitedSinceMillis >= SLOW_BODY_MILLIS ? reservation.bytes() : 0;
        }

        @Override
        public long waitingSinceMillis() {
            return bodyAwaitedSinceMillis;
        }

        @Override
        public void shed() {
            rejectForMemory();
        }
    }

    /** A request that was read, and its response once there is one. */
    private static final class Exchange {
        private final String target;
        private final long readMillis;
        private final boolean keepAlive;
        private final boolean headRequest;
        private final RequestMemory.Reservation bodyMemory;
        private long heldBytes;
        private HttpExchange.Response response;
        private Cancellable work = Cancellable.NONE;
        private boolean abandoned;
        private boolean closes;

        private Exchange(
                String target,
                long readMillis,
                boolean keepAlive,
                boolean headRequest,
                RequestMemory.Reservation bodyMemory,
                long heldBytes) {
            this.target = target.length() <= LOGGED_TARGET_LENGTH ? target : target.substring(0, LOGGED_TARGET_LENGTH);
            this.readMillis = readMillis;
            this.keepAlive = keepAlive;
            this.headRequest = headRequest;
            this.bodyMemory = bodyMemory;
            this.heldBytes = heldBytes;
        }
    }

    /** Returns an estimate of the heap that a request takes which waits or runs. */
    static long requestBytes(List<Header> headers, int bodyBytes) {
        long bytes = EXCHANGE_BYTES + bodyBytes;
        for (Header header : headers) {
            bytes += lineBytes(header.name().length() + header.value().length());
        }
        return bytes;
    }

    private static long lineBytes(int length) {
        return LINE_BYTES + (long) LINE_COPIES * length;
    }

    private long heldBytes() {
        return CONNECTION_BYTES + longestLine + enlargedBytes + unfinishedBytes() + exchangesBytes + unsentBytes();
    }

    /** Returns the memory of requests that are not complete, or not decoded as the connection has too many. */
    private long unfinishedBytes() {
        return linesBytes + undecodedBytes + (body == null ? 0 : body.capacity());
    }

    /** Returns the bytes that wait in the transport until the caller reads. */
    private long unsentBytes() {
        var buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** Counts what is held now, which is as much as before or less, or cannot be given up. */
    private void count() {
        if (!ended) {
            share.force(heldBytes());
        }
    }

    /** Returns whether a response waits until the caller has read what was sent before. */
    private boolean isUnread() {
        return !exchanges.isEmpty() && exchanges.peek().response != null && !channel.isWritable()
                || exchanges.isEmpty() && unsentBytes() > 0;
    }

    @Override
    public long sheddableBytes() {
        if (ended) {
            return 0;
        }
        if (isClosedToShed()) {
            return share.bytes();
        }
        return ignoreInput ? 0 : unfinishedBytes();
    }

    @Override
    public long waitingSinceMillis() {
        if (isUnread()) {
            return writtenMillis;
        }
        return begunMillis >= 0 ? begunMillis : idleSinceMillis;
    }

    /**
     * Gives up what is held: resets a connection whose responses are not read or whose header section is not complete,
     * closes an idle one, and refuses a request whose body is not complete.
     */
    @Override
    public void shed() {
        if (isClosedToShed()) {
            closeForAnother();
        } else {
            rejectForMemory();
        }
    }

    /** Returns whether the connection itself is given up, and not only an unfinished request on it. */
    private boolean isClosedToShed() {
        return isUnread() || exchanges.isEmpty() && head == null;
    }

    /** Closes a connection that is idle, and resets it otherwise. */
    void closeForAnother() {
        boolean idle = exchanges.isEmpty() && begunMillis < 0 && unsentBytes() == 0;
        end();
        if (idle) {
            channel.close();
        } else {
            abort();
        }
    }

    private void end() {
        ended = true;
        ignoreInput = true;
        discardPartialRequest();
        removeDecoder();
        share.end();
    }

    @Override
    public boolean isPaused() {
        return exchanges.size() >= MAX_UNANSWERED || !channel.isWritable();
    }

    @Override
    public boolean ignoresInput() {
        return ignoreInput;
    }

    @Override
    public int maxRequestLineBytes() {
        return Math.max(MIN_REQUEST_LINE_LIMIT_BYTES, maxHeaderBytes());
    }

    /** A request that began to arrive under a larger limit is read under that. */
    @Override
    public int maxHeaderBytes() {
        int presentBytes = Math.min(listener.limits().maxHeaderBytes(), HttpListener.MAX_HEADER_BYTES);
        headerLimitBytes = begunMillis < 0 ? presentBytes : Math.max(headerLimitBytes, presentBytes);
        return headerLimitBytes;
    }

    @Override
    public void onLine(int length) {
        linesBytes += lineBytes(length);
        longestLine = Math.max(longestLine, length);
        if (ended || !share.resize(heldBytes())) {
            throw new StrictRequestDecoder.NoRoomException();
        }
    }

    @Override
    public void onDecoded(int heldBytes) {
        undecodedBytes = heldBytes;
        boolean unfinished = unfinishedBytes() > 0 || head != null;
        if (!unfinished) {
            begunMillis = -1;
        } else if (begunMillis < 0) {
            begunMillis = clock.nowMillis();
        }
        if (ended) {
            return;
        }
        if (!share.resize(heldBytes())) {
            undecodedBytes = 0;
            if (exchanges.isEmpty() && head == null) {
                end();
                abort();
            } else if (!ignoreInput) {
                rejectForMemory();
            }
        } else if (isPaused()) {
            channel.config().setAutoRead(false);
        }
    }

    /** Returns the number of requests without a response, or whose response the transport has not sent in full. */
    int unanswered() {
        return exchanges.isEmpty() && unsentBytes() > 0 ? 1 : exchanges.size();
    }

    /** Reads no further request and closes the connection after the responses to those that were read. */
    void closeAfterResponses() {
        ignoreInput = true;
        closeAfterLastResponse = true;
        discardPartialRequest();
        if (exchanges.isEmpty() && unsentBytes() == 0) {
            channel.close();
        } else if (exchanges.isEmpty()) {
            // An empty write ends after those before it; closing at once would drop what the transport holds.
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> shutDownOutput());
        }
    }

    /** Closes the connection if all responses have been sent and no further request was begun. */
    void closeIfIdle() {
        if (exchanges.isEmpty() && head == null && unsentBytes() == 0) {
            channel.close();
        }
    }

    /** Resets the connection, which was not set up, since there is no room for it. */
    void refuse() {
        end();
        abort();
    }

    /** Returns whether the connection is idle, or has received only a part of a request, or responses are not read. */
    boolean isWaitingForCaller() {
        return !ended && (exchanges.isEmpty() || isUnread());
    }

    /** Resets the connection. */
    void abort() {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
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
     * Closes the connection if it has been idle for too long or its caller has not read a response for as long, or
     * rejects a request whose body has not arrived within the sum of the header and idle timeouts after its header
     * section. Does neither of the other two while there are unanswered requests. An incomplete header section counts
     * as idle time.
     */
    void closeIfTooSlow(long nowMillis) {
        count();
        long idleTimeoutMillis = listener.limits().idleTimeoutMillis();
        if (isUnread()) {
            writtenMillis = Math.max(writtenMillis, sendProgress.lastSentMillis(nowMillis));
            if (nowMillis - writtenMillis > idleTimeoutMillis) {
                end();
                abort();
            }
            return;
        }
        if (!exchanges.isEmpty() || ignoreInput) {
            return;
        }
        boolean reading = head != null;
        long allowedMillis = reading ? listener.limits().headerTimeoutMillis() + idleTimeoutMillis : idleTimeoutMillis;
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
            reject(request.decoderResult());
            return;
        }
        bodyAwaitedSinceMillis = clock.nowMillis();
        long announcedBytes = HttpUtil.getContentLength(request, 0L);
        if (announcedBytes > listener.limits().maxBodyBytes()) {
            reject(TOO_LARGE);
            return;
        }
        bodyMemory = new UnfinishedBody().reservation;
        if (!bodyMemory.growTo(announcedBytes)) {
            rejectForMemory();
            return;
        }
        head = request;
        body = new BodyBytes();
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

    private void reject(DecoderResult result) {
        if (result.cause() instanceof StrictRequestDecoder.NoRoomException) {
            rejectForMemory();
        } else {
            reject(statusOf(result));
        }
    }

    private static int statusOf(DecoderResult result) {
        if (result.cause() instanceof TooLongHttpLineException) {
            return URI_TOO_LONG;
        }
        return result.cause() instanceof TooLongHttpHeaderException ? HEADERS_TOO_LARGE : BAD_REQUEST;
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(content.decoderResult());
            return;
        }
        ByteBuf bytes = content.content();
        long readBytes = body.length() + (long) bytes.readableBytes();
        if (readBytes > listener.limits().maxBodyBytes()) {
            reject(TOO_LARGE);
            return;
        }
        int growth = body.capacityWith(bytes.readableBytes()) - body.capacity();
        if (!bodyMemory.growTo(readBytes) || growth > 0 && !share.resize(heldBytes() + growth)) {
            rejectForMemory();
            return;
        }
        body.append(bytes);
        if (content instanceof LastHttpContent) {
            onRequestComplete();
        } else if (readBytes > listener.connectionLimits().receiveBufferBytes()) {
            enlargeReceiveWindow();
        }
    }

    /** Lets the caller send more of a long body at a time, unless memory is short. */
    private void enlargeReceiveWindow() {
        if (enlargedBytes == 0 && share.addIfFree(ReceiveWindow.MAX_UNREAD_BYTES)) {
            enlargedBytes = ReceiveWindow.MAX_UNREAD_BYTES;
            ReceiveWindow.enlarge(channel, ReceiveWindow.CALLER_BUFFER_BYTES);
        }
    }

    private void onRequestComplete() {
        HttpRequest request = head;
        if (!share.resize(heldBytes() + EXCHANGE_BYTES)) {
            rejectForMemory();
            return;
        }
        byte[] bytes = body.toArray();
        Exchange exchange = new Exchange(
                request.uri(),
                clock.nowMillis(),
                HttpUtil.isKeepAlive(request),
                request.method().name().equals("HEAD"),
                bodyMemory,
                EXCHANGE_BYTES + linesBytes + bytes.length);
        bodyMemory = null;
        discardPartialRequest();
        add(exchange);
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
    }

    private void add(Exchange exchange) {
        exchanges.add(exchange);
        exchangesBytes += exchange.heldBytes;
        count();
    }

    /** Handles a request, unless its caller has left. */
    private void start(Exchange exchange, HttpExchange.Request request) {
        if (!exchange.abandoned && channel.isActive()) {
            exchange.work = handler.handle(request, response -> onResponse(exchange, response));
            releaseReadyResponses();
        }
    }

    /** Rejects input that is not an acceptable request; responses to requests before it are still sent. */
    private void reject(int status) {
        reject(listener.rejections().create(status, 0));
    }

    /** Rejects a request for which there is no memory now. */
    private void rejectForMemory() {
        reject(listener.rejections().create(UNAVAILABLE, NO_MEMORY_RETRY_MILLIS));
    }

    private void reject(HttpExchange.Response response) {
        ignoreInput = true;
        discardPartialRequest();
        Exchange exchange = new Exchange(
                REJECTED,
                clock.nowMillis(),
                false,
                false,
                listener.requestMemory().new Reservation(CallerMemory.KEEPS_ALL),
                EXCHANGE_BYTES);
        add(exchange);
        removeDecoder();
        onResponse(exchange, response);
    }

    /**
     * Drops what the decoder holds, which would otherwise stay until the loop has processed the end of the connection,
     * after all others that are readable now. Further bytes arrive at this handler, which ignores them.
     */
    private void removeDecoder() {
        if (decoder != null && channel.pipeline().context(decoder) != null) {
            channel.pipeline().remove(decoder);
        }
        decoder = null;
        undecodedBytes = 0;
        longestLine = 0;
    }

    private void discardPartialRequest() {
        head = null;
        body = null;
        linesBytes = 0;
        begunMillis = -1;
        continueDue = false;
        if (bodyMemory != null) {
            bodyMemory.release();
            bodyMemory = null;
        }
    }

    private void onResponse(Exchange exchange, HttpExchange.Response response) {
        if (exchange.response != null || exchange.abandoned || !channel.isActive()) {
            return;
        }
        exchange.response = response;
        exchange.bodyMemory.release();
        exchangesBytes -= exchange.heldBytes;
        exchange.heldBytes = EXCHANGE_BYTES + response.body().length;
        exchangesBytes += exchange.heldBytes;
        writeResponses();
        releaseReadyResponses();
    }

    /** Gives up the requests that hold back a response which is ready, once the process is about to end. */
    void releaseReadyResponses() {
        if (listener.isReleasing()) {
            requestsBeforeLastReady().forEach(exchange -> exchange.work.giveUp());
        }
    }

    /** Returns the unanswered requests before the last one whose response is ready. */
    private List<Exchange> requestsBeforeLastReady() {
        List<Exchange> unanswered = new ArrayList<>();
        int beforeLastReady = 0;
        for (Exchange exchange : exchanges) {
            if (exchange.response == null) {
                unanswered.add(exchange);
            } else {
                beforeLastReady = unanswered.size();
            }
        }
        return unanswered.subList(0, beforeLastReady);
    }

    /** Returns what the caller has not received yet; empty if it has everything. */
    Optional<UnsentResponses> unsentResponses() {
        if (exchanges.isEmpty() && unsentBytes() == 0) {
            return Optional.empty();
        }
        Exchange first = exchanges.peek();
        int ready = (int) exchanges.stream().filter(e -> e.response != null).count();
        return Optional.of(new UnsentResponses(
                (InetSocketAddress) channel.remoteAddress(),
                first == null ? null : first.target,
                first == null ? 0 : clock.nowMillis() - first.readMillis,
                exchanges.size(),
                ready,
                unsentBytes()));
    }

    /** Writes the responses that are due, as far as the caller reads them, and then reads on. */
    private void writeResponses() {
        if (writing) {
            return;
        }
        writing = true;
        while (isResponseDue() && isWritableOnceFlushed()) {
            while (isResponseDue() && channel.isWritable()) {
                writeNextPart();
            }
            if (continueDue && exchanges.isEmpty()) {
                writeContinue();
            }
            channel.flush();
            writtenMillis = clock.nowMillis();
            idleSinceMillis = writtenMillis;
        }
        writing = false;
        count();
        readOn();
    }

    private boolean isResponseDue() {
        return !ended && !exchanges.isEmpty() && exchanges.peek().response != null;
    }

    private boolean isWritableOnceFlushed() {
        if (!channel.isWritable()) {
            channel.flush();
        }
        return channel.isWritable();
    }

    private void readOn() {
        if (ended) {
            return;
        }
        if (!isPaused() && decoder != null) {
            decoder.resume();
        }
        if ((ignoreInput || !isPaused()) && !channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable()) {
            writtenMillis = clock.nowMillis();
            writeResponses();
        }
    }

    /** Writes the first response, or its next part if it is long. */
    private void writeNextPart() {
        Exchange exchange = exchanges.peek();
        byte[] bytes = exchange.response.body();
        if (partlyWritten < 0) {
            boolean last = exchanges.size() == 1 && head == null;
            boolean close = !exchange.keepAlive || last && (listener.isClosing() || closeAfterLastResponse);
            ignoreInput |= close;
            if (!exchange.headRequest && bytes.length > RESPONSE_PART_BYTES) {
                HttpResponse message = new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(exchange.response.status()));
                setHeaders(message, exchange.response, close);
                channel.write(message, channel.voidPromise());
                exchange.closes = close;
                partlyWritten = 0;
            } else {
                ByteBuf content = exchange.headRequest ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes);
                HttpResponse message = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(exchange.response.status()), content);
                setHeaders(message, exchange.response, close);
                writeLast(message, close);
            }
            return;
        }
        int count = Math.min(RESPONSE_PART_BYTES, bytes.length - partlyWritten);
        ByteBuf content = Unpooled.wrappedBuffer(bytes, partlyWritten, count);
        partlyWritten += count;
        if (partlyWritten < bytes.length) {
            channel.write(new DefaultHttpContent(content), channel.voidPromise());
        } else {
            partlyWritten = -1;
            writeLast(new DefaultLastHttpContent(content), exchange.closes);
        }
    }

    private static void setHeaders(HttpResponse message, HttpExchange.Response response, boolean close) {
        for (Header header : response.headers()) {
            message.headers().add(header.name(), header.value());
        }
        if (response.status() != NO_CONTENT && response.status() != NOT_MODIFIED) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        }
        if (close) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Writes the last part of the first response, which is then no longer among the unanswered ones. */
    private void writeLast(Object message, boolean close) {
        exchangesBytes -= exchanges.remove().heldBytes;
        if (close) {
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
        exchangesBytes = 0;
        rest.forEach(e -> {
            e.abandoned = true;
            e.bodyMemory.release();
            e.work.cancel();
        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        end();
        listener.onClosed(this);
        cancelUnanswered();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // Only this connection has failed; channelInactive cancels its requests.
        context.close();
    }
}
