package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.siskindyke.kernel.route.CallerLimits;
import org.siskindyke.kernel.time.MonotonicClock;

/**
 * An HTTP/1.1 server that reads ahead: pipelined requests on a connection are handled concurrently and answered in
 * order, and the work for a caller that closes its connection is cancelled at once. Confined to the traffic loop,
 * except for {@link #listen}.
 */
public final class HttpListener {
    /**
     * Longest request line and longest fields that are accepted, whatever the limits on callers say. Compressed, both
     * fit into a message between routers beside the longest body, see {@link RequestMemory#MAX_BODY_BYTES}.
     */
    static final int MAX_HEADER_BYTES = 256 * 1024;

    private static final long PROGRESS_CHECK_MILLIS = 500;
    /** Low and high mark of the bytes that wait in the transport of one connection until its caller reads. */
    private static final WriteBufferWaterMark WRITE_BUFFER = new WriteBufferWaterMark(8_192, 16_384);

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final HttpExchange.Handler handler;
    private final Supplier<CallerLimits> limits;
    private final HttpExchange.Rejections rejections;
    private final RequestMemory requestMemory;
    private final Set<HttpServerConnection> connections = new HashSet<>();
    private final ConnectionLimits connectionLimits;
    private Channel channel;
    private boolean closing;
    private boolean releasing;
    private long connectionsRefused;

    /**
     * Creates a server that does not listen yet.
     *
     * @param traffic the loop
     * @param clock the clock
     * @param limits returns the limits on callers; changed ones apply to open connections as well, from their next
     *     request on
     * @param handler handles requests
     */
    public HttpListener(
            TrafficLoop traffic, MonotonicClock clock, Supplier<CallerLimits> limits, HttpExchange.Handler handler) {
        this(traffic, clock, limits, handler, HttpExchange.Rejections.EMPTY);
    }

    /** Creates a server as above that rejects requests with responses of a form of its own. */
    public HttpListener(
            TrafficLoop traffic,
            MonotonicClock clock,
            Supplier<CallerLimits> limits,
            HttpExchange.Handler handler,
            HttpExchange.Rejections rejections) {
        this(traffic, clock, limits, handler, rejections, ConnectionLimits.CALLERS);
    }

    /** Creates a server as above with given limits on its connections. */
    public HttpListener(
            TrafficLoop traffic,
            MonotonicClock clock,
            Supplier<CallerLimits> limits,
            HttpExchange.Handler handler,
            HttpExchange.Rejections rejections,
            ConnectionLimits connectionLimits) {
        this.traffic = traffic;
        this.clock = clock;
        this.limits = limits;
        this.handler = handler;
        this.rejections = rejections;
        this.connectionLimits = connectionLimits;
        this.requestMemory = new RequestMemory(clock);
    }

    /**
     * Starts to listen. Blocks until the address is bound, so it must not be called on the traffic loop.
     *
     * @param address the address to bind; port 0 for any free one
     * @return the address that is bound
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code ADDRESS_UNAVAILABLE}
     */
    public InetSocketAddress listen(InetSocketAddress address) {
        ChannelInitializer<Channel> initializer = new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel accepted) {
                setUp(accepted);
            }
        };
        channel = traffic.listen(address, initializer, connectionLimits);
        traffic.scheduleWithFixedDelay(this::closeSlowConnections, PROGRESS_CHECK_MILLIS);
        return (InetSocketAddress) channel.localAddress();
    }

    private void setUp(Channel accepted) {
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_HEADER_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setValidateHeaders(true);
        HttpServerConnection connection = new HttpServerConnection(this, clock, handler, accepted);
        if (connections.size() >= connectionLimits.accepted() && !closeOneFor(connection) || !connection.reserve()) {
            connectionsRefused++;
            connection.refuse();
            return;
        }
        StrictRequestDecoder decoder = new StrictRequestDecoder(config, connection);
        connection.setDecoder(decoder);
        accepted.config().setWriteBufferWaterMark(WRITE_BUFFER);
        accepted.pipeline().addLast(decoder, new HttpResponseEncoder(), connection);
        connections.add(connection);
    }

    /** Closes the connection whose caller has kept this server waiting for longest; returns whether there is one. */
    private boolean closeOneFor(HttpServerConnection accepted) {
        Optional<HttpServerConnection> longest = connections.stream()
                .filter(connection -> connection != accepted && connection.isWaitingForCaller())
                .min(Comparator.comparingLong(HttpServerConnection::waitingSinceMillis));
        longest.ifPresent(connection -> {
            connectionsRefused++;
            connections.remove(connection);
            connection.closeForAnother();
        });
        return longest.isPresent();
    }

    /** Returns the number of connections. */
    public int connections() {
        return connections.size();
    }

    /** Returns how many connections were refused or closed since there were too many, or no memory for one more. */
    public long connectionsRefused() {
        return connectionsRefused;
    }

    ConnectionLimits connectionLimits() {
        return connectionLimits;
    }

    CallerMemory callerMemory() {
        return traffic.callerMemory();
    }

    RequestMemory requestMemory() {
        return requestMemory;
    }

    HttpExchange.Rejections rejections() {
        return rejections;
    }

    CallerLimits limits() {
        return limits.get();
    }

    /** Runs an action that a request has caused, see {@link TrafficLoop#executeOnceRead}. */
    void executeOnceRead(Runnable action) {
        traffic.executeOnceRead(action);
    }

    boolean isClosing() {
        return closing;
    }

    boolean isReleasing() {
        return releasing;
    }

    void onClosed(HttpServerConnection connection) {
        connections.remove(connection);
    }

    /** Returns the number of requests that have been read and not answered. */
    public int unanswered() {
        return connections.stream().mapToInt(HttpServerConnection::unanswered).sum();
    }

    /** Closes each connection after its next response that leaves none outstanding; requests are still accepted. */
    public void startClosing() {
        closing = true;
    }

    /**
     * Gives up requests that hold back responses which are ready, now and whenever a response becomes ready from now
     * on, so that these leave before the process ends. Requests that hold nothing back run on.
     */
    public void releaseReadyResponses() {
        releasing = true;
        List.copyOf(connections).forEach(HttpServerConnection::releaseReadyResponses);
    }

    /** Returns, for each connection whose caller has not received all responses, what it waits for. */
    public List<UnsentResponses> unsentResponses() {
        return connections.stream()
                .flatMap(connection -> connection.unsentResponses().stream())
                .toList();
    }

    /** Stops listening, reads no further requests and closes each connection after its last response. */
    public void close() {
        if (channel != null) {
            channel.close();
        }
        List.copyOf(connections).forEach(HttpServerConnection::closeAfterResponses);
    }

    /** Closes the connections on which no request was begun; goes on listening. */
    public void closeIdle() {
        List.copyOf(connections).forEach(HttpServerConnection::closeIfIdle);
    }

    /** Stops listening and resets all connections, as the end of a process does. */
    public void abort() {
        if (channel != null) {
            channel.close();
        }
        resetConnections();
    }

    /**
     * Stops listening and ends all connections, as {@link #abort} does, but first sends the start of a response on the
     * connection from {@code remote}, which is not reset.
     */
    public void abortAmidResponse(InetSocketAddress remote, byte[] responseStart) {
        channel.close();
        for (HttpServerConnection connection : List.copyOf(connections)) {
            if (connection.isFrom(remote)) {
                connection.closeAfter(responseStart);
            } else {
                connection.abort();
            }
        }
    }

    /** Sends the start of a response on the connection from {@code remote}, closes it and goes on listening. */
    public void closeAmidResponse(InetSocketAddress remote, byte[] responseStart) {
        List.copyOf(connections).stream()
                .filter(connection -> connection.isFrom(remote))
                .forEach(connection -> connection.closeAfter(responseStart));
    }

    /** Sends bytes as they are on the connection from {@code remote}, whatever else is sent on it. */
    public void sendRaw(InetSocketAddress remote, byte[] bytes) {
        List.copyOf(connections).stream()
                .filter(connection -> connection.isFrom(remote))
                .forEach(connection -> connection.sendRaw(bytes));
    }

    /** Resets all connections and goes on listening. */
    public void resetConnections() {
        List.copyOf(connections).forEach(HttpServerConnection::abort);
    }

    /** Closes connections that have been idle for too long, and rejects requests whose bodies take too long. */
    void closeSlowConnections() {
        long nowMillis = clock.nowMillis();
        List.copyOf(connections).forEach(c -> c.closeIfTooSlow(nowMillis));
    }
}
