package org.siskindyke.runtime.traffic;

import java.lang.System.Logger.Level;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.IntegerUnixChannelOption;

/** Enlarges the receive buffer of a connection, and with it what the other end may send at a time. */
final class ReceiveWindow {
    /** Buffer of a caller's connection. */
    static final int CALLER_BUFFER_BYTES = 65_536;
    /** Most bytes that a caller's connection has received and not read then, see {@link ConnectionLimits}. */
    static final int MAX_UNREAD_BYTES = 98_304;
    /** Buffer of another router's connection, on which bodies of calls arrive from other regions too. */
    static final int PEER_BUFFER_BYTES = 262_144;

    private static final int IPPROTO_TCP = 6;
    private static final int TCP_WINDOW_CLAMP = 10;
    /** Up to Linux 6.10 a larger buffer alone leaves the largest window as it was when the connection was accepted. */
    private static final IntegerUnixChannelOption WINDOW_CLAMP =
            new IntegerUnixChannelOption("TCP_WINDOW_CLAMP", IPPROTO_TCP, TCP_WINDOW_CLAMP);

    private static final System.Logger LOGGER = System.getLogger(ReceiveWindow.class.getName());

    private ReceiveWindow() {}

    /** Enlarges the buffer. Where the system does not allow that, long messages only take longer to arrive. */
    static void enlarge(Channel channel, int bufferBytes) {
        try {
            channel.config().setOption(ChannelOption.SO_RCVBUF, bufferBytes);
            if (channel instanceof EpollSocketChannel) {
                channel.config().setOption(WINDOW_CLAMP, bufferBytes);
            }
        } catch (ChannelException e) {
            LOGGER.log(Level.DEBUG, "event=receive-window-not-enlarged", e);
        }
    }
}
