package org.siskindyke.runtime.traffic;

import java.lang.System.Logger.Level;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;

/** Tells when bytes that wait in a socket were last sent, which happens as far as the other end reads. */
@FunctionalInterface
interface SendProgress {
    /** The progress of a transport that cannot tell. */
    SendProgress UNKNOWN = nowMillis -> Long.MIN_VALUE;

    /**
     * Returns when the socket last sent data, by the clock of {@code nowMillis}; {@link Long#MIN_VALUE} if unknown.
     */
    long lastSentMillis(long nowMillis);

    /**
     * Returns the progress of a channel. On Linux it is {@code tcpi_last_data_sent} of the socket option {@code
     * TCP_INFO}, see tcp(7): the socket takes further bytes only once a third of its buffer is free, which for a slow
     * reader and a large buffer is long after it has sent some.
     */
    static SendProgress of(Channel channel) {
        return channel instanceof EpollSocketChannel socket ? new OfTcpSocket(socket) : UNKNOWN;
    }

    /** The progress of a Linux TCP socket. */
    final class OfTcpSocket implements SendProgress {
        private static final System.Logger LOGGER = System.getLogger(SendProgress.class.getName());

        private final EpollSocketChannel socket;

        private OfTcpSocket(EpollSocketChannel socket) {
            this.socket = socket;
        }

        @Override
        public long lastSentMillis(long nowMillis) {
            try {
                return nowMillis - socket.tcpInfo().lastDataSent();
            } catch (ChannelException e) {
                LOGGER.log(Level.DEBUG, "event=send-progress-unknown", e);
                return UNKNOWN.lastSentMillis(nowMillis);
            }
        }
    }
}
