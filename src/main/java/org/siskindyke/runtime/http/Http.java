package org.siskindyke.runtime.http;

import java.net.BindException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.time.Duration;

import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpProtocolConfig;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpService;
import io.servicetalk.http.api.SingleAddressHttpClientBuilder;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpConnectionFilterFactory;
import io.servicetalk.http.netty.DefaultHttpLoadBalancerFactory;
import io.servicetalk.http.netty.H2KeepAlivePolicies;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.http.utils.PayloadSizeLimitingHttpRequesterFilter;
import io.servicetalk.loadbalancer.RoundRobinLoadBalancers;
import io.servicetalk.transport.api.HostAndPort;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.RetryableException;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

/** Creates HTTP servers and clients that run on shared event loops; clients never retry by themselves. */
public final class Http {
    /** Largest body of a response that a client collects where no limit is given. */
    private static final int DEFAULT_MAX_RESPONSE_BYTES = 9 * 1024 * 1024;

    /** Largest header section of a response, with interim responses before it and a first part of its body. */
    private static final int MAX_RESPONSE_HEAD_BYTES = 1024 * 1024;

    private static final StreamingHttpConnectionFilterFactory NO_FILTER =
            connection -> new StreamingHttpConnectionFilter(connection) {};

    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final Duration PING_WHEN_IDLE = Duration.ofSeconds(1);
    private static final Duration PING_TIMEOUT = Duration.ofSeconds(1);
    private static final int DEFAULT_SEARCH_SPACE = 64;

    /** Few event loops, since most calls cross from one connection to another and wake the other one's loop. */
    private static final int EVENT_LOOPS = 2;

    private static final IoExecutor IO_EXECUTOR = NettyIoExecutors.createIoExecutor(EVENT_LOOPS, "traffic");

    private Http() {}

    /** Protocols that a server or client may speak without TLS. */
    public enum Protocol {
        /** HTTP/1.1 with one exchange at a time on a connection. */
        HTTP_1_1,
        /** HTTP/2 with prior knowledge. */
        HTTP_2;

        private HttpProtocolConfig config() {
            return this == HTTP_1_1
                    ? HttpProtocolConfigs.h1().maxPipelinedRequests(1).build()
                    : HttpProtocolConfigs.h2()
                            .keepAlivePolicy(H2KeepAlivePolicies.whenIdleFor(PING_WHEN_IDLE, PING_TIMEOUT))
                            .build();
        }
    }

    /**
     * Starts a server.
     *
     * @param host IP address to bind
     * @param port TCP port; 0 for any free one
     * @param protocol the protocol
     * @param service handles requests without blocking
     * @return the running server
     * @throws SiskindykeException with code {@code ADDRESS_UNAVAILABLE} where the address cannot be bound
     */
    public static HttpServerContext serve(String host, int port, Protocol protocol, HttpService service) {
        try {
            return HttpServers.forAddress(new InetSocketAddress(host, port))
                    .ioExecutor(IO_EXECUTOR)
                    .protocols(protocol.config())
                    .socketOption(StandardSocketOptions.TCP_NODELAY, true)
                    .executionStrategy(HttpExecutionStrategies.offloadNone())
                    .listenAndAwait(service);
        } catch (BindException e) {
            throw unavailable(host, port, e);
        } catch (Exception e) {
            if (e.getCause() instanceof BindException) {
                throw unavailable(host, port, e);
            }
            throw new SiskindykeException(ErrorCode.INTERNAL, "cannot start a server on " + host + ":" + port, e);
        }
    }

    private static SiskindykeException unavailable(String host, int port, Exception e) {
        return new SiskindykeException(
                ErrorCode.ADDRESS_UNAVAILABLE,
                "cannot listen on " + host + ":" + port + " (" + e.getMessage() + "); choose another address or port",
                e);
    }

    /** Returns whether a failed request was certainly not sent. */
    public static boolean isNotSent(Throwable failure) {
        return failure instanceof RetryableException || failure instanceof ConnectException;
    }

    /** Returns the port that a server listens on. */
    public static int portOf(HttpServerContext server) {
        return ((InetSocketAddress) server.listenAddress()).getPort();
    }

    /** Creates a client of one address with the default search space. */
    public static HttpClient client(String host, int port, Protocol protocol) {
        return client(host, port, protocol, DEFAULT_SEARCH_SPACE, DEFAULT_MAX_RESPONSE_BYTES, NO_FILTER);
    }

    /**
     * Creates a client of one address.
     *
     * @param host IP address
     * @param port TCP port
     * @param protocol the protocol
     * @param searchSpace the number of open connections that are tried before a new one is opened
     * @param maxResponseBytes the largest body of a response; a longer one closes its connection
     * @param connectionFilter a filter of all requests and responses on each connection
     * @return the client
     */
    public static HttpClient client(
            String host,
            int port,
            Protocol protocol,
            int searchSpace,
            int maxResponseBytes,
            StreamingHttpConnectionFilterFactory connectionFilter) {
        SingleAddressHttpClientBuilder<HostAndPort, InetSocketAddress> builder =
                HttpClients.forResolvedAddress(HostAndPort.of(host, port));
        if (protocol == Protocol.HTTP_1_1) {
            builder.appendConnectionFactoryFilter(new ResponseHeadLimit(MAX_RESPONSE_HEAD_BYTES));
        }
        return builder.ioExecutor(IO_EXECUTOR)
                .protocols(protocol.config())
                .socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MILLIS)
                .socketOption(StandardSocketOptions.TCP_NODELAY, true)
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .appendConnectionFilter(connectionFilter)
                .appendClientFilter(new PayloadSizeLimitingHttpRequesterFilter(maxResponseBytes))
                .appendClientFilter(RetryingHttpRequesterFilter.disableAllRetries())
                .loadBalancerFactory(DefaultHttpLoadBalancerFactory.Builder.from(
                                RoundRobinLoadBalancers
                                        .<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>builder(
                                                "siskindyke")
                                        .healthCheckFailedConnectionsThreshold(-1)
                                        .linearSearchSpace(Math.max(1, searchSpace))
                                        .build())
                        .build())
                .build();
    }
}
