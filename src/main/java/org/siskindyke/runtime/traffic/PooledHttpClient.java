package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Header;

/** Sends this process's own requests to one server over pooled connections. May be used on any thread. */
public final class PooledHttpClient {
    private static final int MAX_CONNECTIONS = 16;

    private final TrafficLoop traffic;
    private final HttpClientPool pool;
    private final String host;

    /** Creates a client of the server at an address. */
    public PooledHttpClient(TrafficLoop traffic, MonotonicClock clock, InetSocketAddress address) {
        this.traffic = traffic;
        this.pool = new HttpClientPool(
                traffic, clock, address, MAX_CONNECTIONS, ResponseDialect.ANONYMOUS, ConnectionObserver.NONE);
        this.host = address.getHostString() + ":" + address.getPort();
    }

    /**
     * Sends a request.
     *
     * @param method the method
     * @param target path and query
     * @param body a JSON body, empty for none
     * @param timeoutMillis how long to wait for the complete response
     * @return the response, whatever its status; fails with {@code TABLE_UNAVAILABLE}, whichever server it is, where
     *     there is none, although the server may still process the request
     */
    public CompletionStage<HttpExchange.Response> call(String method, String target, byte[] body, long timeoutMillis) {
        CompletableFuture<HttpExchange.Response> response = new CompletableFuture<>();
        traffic.execute(() -> send(method, target, body, timeoutMillis, response));
        return response;
    }

    private void send(
            String method,
            String target,
            byte[] body,
            long timeoutMillis,
            CompletableFuture<HttpExchange.Response> response) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, host);
        if (body.length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        Cancellable[] inFlight = {Cancellable.NONE};
        Cancellable timer = traffic.schedule(
                () -> {
                    inFlight[0].cancel();
                    // What made this connection silent may have silenced those beside it.
                    pool.closeIdle();
                    response.completeExceptionally(unavailable(target, "no response within the timeout"));
                },
                timeoutMillis);
        inFlight[0] = pool.send(request, null, new HttpClientPool.ResponseListener() {
            @Override
            public void onResponse(int status, List<Header> headers, byte[] bytes, boolean endedByClose) {
                timer.cancel();
                response.complete(new HttpExchange.Response(status, headers, bytes));
            }

            @Override
            public void onLost(ResponseLoss loss, String cause) {
                timer.cancel();
                response.completeExceptionally(unavailable(target, cause));
            }
        });
    }

    private static SiskindykeException unavailable(String target, String cause) {
        return new SiskindykeException(ErrorCode.TABLE_UNAVAILABLE, target + ": " + cause);
    }
}
