package org.siskindyke.runtime.http;

import java.net.InetSocketAddress;

import io.servicetalk.client.api.ConnectionFactory;
import io.servicetalk.client.api.ConnectionFactoryFilter;
import io.servicetalk.client.api.DelegatingConnectionFactory;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.context.api.ContextMap;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.api.TransportObserver;
import io.servicetalk.transport.api.TransportObservers;

/**
 * Closes HTTP/1.1 connections of a client on which more than a number of bytes have arrived before the end of a
 * response's header section. ServiceTalk itself limits each field, but not their number.
 */
final class ResponseHeadLimit implements ConnectionFactoryFilter<InetSocketAddress, FilterableStreamingHttpConnection> {
    private final long maxBytes;

    /**
     * Creates a limit.
     *
     * @param maxBytes the largest number of bytes before the end of a header section; must leave room for the start of
     *     the body that arrives with it
     */
    ResponseHeadLimit(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public ConnectionFactory<InetSocketAddress, FilterableStreamingHttpConnection> create(
            ConnectionFactory<InetSocketAddress, FilterableStreamingHttpConnection> original) {
        return new DelegatingConnectionFactory<>(original) {
            @Override
            public Single<FilterableStreamingHttpConnection> newConnection(
                    InetSocketAddress address, ContextMap context, TransportObserver observer) {
                ResponseHeadMeter meter = new ResponseHeadMeter(maxBytes);
                TransportObserver metered = observer == null ? meter : TransportObservers.combine(observer, meter);
                return delegate()
                        .newConnection(address, context, metered)
                        .map(connection -> new LimitedConnection(connection, meter));
            }
        };
    }

    private static final class LimitedConnection extends StreamingHttpConnectionFilter {
        private final ResponseHeadMeter meter;

        private LimitedConnection(FilterableStreamingHttpConnection connection, ResponseHeadMeter meter) {
            super(connection);
            this.meter = meter;
            meter.onExceeded(() -> connection.closeAsync().subscribe());
        }

        @Override
        public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
            return Single.defer(() -> {
                meter.start();
                return delegate().request(request).beforeFinally(meter::stop).shareContextOnSubscribe();
            });
        }
    }
}
