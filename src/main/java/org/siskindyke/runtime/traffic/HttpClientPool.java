package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.ReferenceCountUtil;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Header;

/**
 * A pool of connections to one server. Of those that have not carried a request before, the one used last is reused
 * first. Confined to the traffic loop.
 */
final class HttpClientPool {
    /** Idle time after which a connection is not reused where the server announces no timeout. */
    private static final long DEFAULT_IDLE_MILLIS = 8_000;
    /** Fraction of the announced idle timeout after which a connection is not reused; the server may close it soon. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;

    /** Memory for all partly received responses of the server, three times the largest body. */
    private static final long MAX_PARTIAL_RESPONSES_BYTES = 3L * HttpClientConnection.MAX_BODY_BYTES;

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final InetSocketAddress address;
    private int maxConnections;
    private final ResponseDialect dialect;
    private final ConnectionObserver observer;
    private final ResponseMemory memory;
    private final Deque<HttpClientConnection> idle = new ArrayDeque<>();
    private final Set<HttpClientConnection> all = new HashSet<>();
    private long connectionsOpened;

    /** Receives the outcome of a request. */
    interface ResponseListener {
        /**
         * Called when the complete response has arrived.
         *
         * @param status the status code
         * @param headers the header fields
         * @param body the body
         * @param endedByClose whether only the end of the connection ended the body, so that the server may have ended
         */
        void onResponse(int status, List<Header> headers, byte[] body, boolean endedByClose);

        /**
         * Called when there will be no response.
         *
         * @param loss what happened
         * @param cause the cause, for the log
         */
        void onLost(ResponseLoss loss, String cause);
    }

    HttpClientPool(
            TrafficLoop traffic,
            MonotonicClock clock,
            InetSocketAddress address,
            int maxConnections,
            ResponseDialect dialect,
            ConnectionObserver observer) {
        this.traffic = traffic;
        this.clock = clock;
        this.address = address;
        this.maxConnections = maxConnections;
        this.dialect = dialect;
        this.observer = observer;
        this.memory = new ResponseMemory(MAX_PARTIAL_RESPONSES_BYTES, traffic.callerMemory());
    }

    /**
     * Sends a request.
     *
     * @param request the request, of which this method takes ownership
     * @param requestId the id that its response must name; null for any
     * @param listener receives the outcome, possibly before this method returns
     * @return cancels the request and closes its connection; must not be called after the outcome, as the connection
     *     may carry another request by then
     */
    Cancellable send(FullHttpRequest request, String requestId, ResponseListener listener) {
        HttpClientConnection reused = takeIdle(requestId);
        if (reused != null) {
            reused.send(request, requestId, listener);
            return reused::closeSilently;
        }
        if (all.size() >= maxConnections && !idle.isEmpty()) {
            // The idle connections may not carry this request; the one used least recently makes room for a new one.
            close(idle.pollLast());
        }
        if (all.size() >= maxConnections) {
            ReferenceCountUtil.release(request);
            listener.onLost(ResponseLoss.NO_CONNECTION_FREE, "all connections are in use");
            return Cancellable.NONE;
        }
        return connect(request, requestId, listener);
    }

    private Cancellable connect(FullHttpRequest request, String requestId, ResponseListener listener) {
        HttpClientConnection[] holder = new HttpClientConnection[1];
        connectionsOpened++;
        HttpClientConnection connection =
                new HttpClientConnection(connectionsOpened, dialect, memory, observer, () -> putIdle(holder[0]));
        holder[0] = connection;
        all.add(connection);
        boolean[] cancelled = new boolean[1];
        ChannelFuture connecting = traffic.connect(address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(connection.handlers());
            }
        });
        connecting.channel().closeFuture().addListener(closed -> remove(connection));
        connecting.addListener(done -> {
            if (cancelled[0] || !done.isSuccess()) {
                ReferenceCountUtil.release(request);
                remove(connection);
                connecting.channel().close();
                if (!cancelled[0]) {
                    listener.onLost(
                            ResponseLoss.NOT_SENT,
                            "cannot connect: " + done.cause().getMessage());
                }
            } else {
                connection.send(request, requestId, listener);
            }
        });
        return () -> {
            cancelled[0] = true;
            connection.closeSilently();
        };
    }

    private HttpClientConnection takeIdle(String requestId) {
        long nowMillis = clock.nowMillis();
        int passedOver = 0;
        HttpClientConnection found = null;
        for (Iterator<HttpClientConnection> remaining = idle.iterator(); found == null && remaining.hasNext(); ) {
            HttpClientConnection connection = remaining.next();
            if (!connection.isUsable() || nowMillis >= idleEndMillis(connection)) {
                remaining.remove();
                close(connection);
            } else if (connection.mayCarry(requestId)) {
                remaining.remove();
                found = connection;
            } else {
                passedOver++;
            }
        }
        if (passedOver > 0) {
            observer.onConnectionsPassedOver(requestId, passedOver);
        }
        return found;
    }

    private void close(HttpClientConnection connection) {
        connection.closeSilently();
        remove(connection);
    }

    private static long idleEndMillis(HttpClientConnection connection) {
        long announced = connection.keepAliveMillis();
        long allowed = announced > 0 ? (long) (announced * IDLE_TIMEOUT_FRACTION) : DEFAULT_IDLE_MILLIS;
        return connection.idleSinceMillis() + allowed;
    }

    private void putIdle(HttpClientConnection connection) {
        connection.setIdleSince(clock.nowMillis());
        idle.push(connection);
        closeSurplus();
    }

    private void remove(HttpClientConnection connection) {
        all.remove(connection);
        idle.remove(connection);
    }

    /** Changes the maximum number of connections. Those beyond a lower one are closed once they carry no request. */
    void limitConnections(int max) {
        maxConnections = max;
        closeSurplus();
    }

    private void closeSurplus() {
        while (all.size() > maxConnections && !idle.isEmpty()) {
            close(idle.pollLast());
        }
    }

    /** Closes the connections that carry no request, so that the next request opens a new one. */
    void closeIdle() {
        List.copyOf(idle).forEach(HttpClientConnection::closeSilently);
        idle.clear();
    }

    /** Returns whether any connection is established, as far as is known. */
    boolean hasEstablishedConnection() {
        return all.stream().anyMatch(HttpClientConnection::isUsable);
    }

    /** Closes all connections; requests in flight are reported as lost. */
    void close() {
        List.copyOf(all).forEach(c -> c.abort("connection pool closed"));
        all.clear();
        idle.clear();
        memory.end();
    }
}
