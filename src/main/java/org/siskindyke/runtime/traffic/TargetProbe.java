package org.siskindyke.runtime.traffic;

import java.net.ConnectException;
import java.net.InetSocketAddress;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;

/**
 * Finds out whether a backend server still listens after connections to it were lost. Opens a connection only where
 * none is left. Confined to the traffic loop.
 */
final class TargetProbe {
    /** Time in which a router has read the ends of all connections that were lost at the same moment. */
    private static final long DELAY_MILLIS = 20;

    private final TrafficLoop traffic;
    private final TargetObserver observer;
    private boolean scheduled;

    TargetProbe(TrafficLoop traffic, TargetObserver observer) {
        this.traffic = traffic;
        this.observer = observer;
    }

    /** Probes a server soon, unless that is already due. */
    void schedule(InetSocketAddress address, HttpClientPool pool) {
        if (!scheduled) {
            scheduled = true;
            traffic.schedule(() -> probe(address, pool), DELAY_MILLIS);
        }
    }

    private void probe(InetSocketAddress address, HttpClientPool pool) {
        scheduled = false;
        if (pool.hasEstablishedConnection()) {
            observer.onConnected();
            return;
        }
        ChannelFuture connecting = traffic.connect(address, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                // The connection carries no request.
            }
        });
        connecting.addListener(done -> {
            connecting.channel().close();
            if (done.isSuccess()) {
                observer.onConnected();
            } else if (isRefused(done.cause())) {
                observer.onRefused();
            }
        });
    }

    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }
}
