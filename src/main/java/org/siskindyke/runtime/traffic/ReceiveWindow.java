package org.siskindyke.runtime.traffic;

import java.lang.System.Logger.Level;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.IntegerUnixChannelOption;

/** Enlarges the receive buffer of a connection, and with it what the other end may send at a time. */
final class ReceiveWindow {
    /** Most bytes that an enlarged connection has received and not read, see {@link ConnectionLimits}. */
    static final int MAX_UNREAD_BYTES = 98_304;

    private static final int BUFFER_BYTES = 65_536;
    private static final int IPPROTO_TCP = 6;
    private static final int TCP_WINDOW_CLAMP = 10;
    /** Up to Linux 6.10 a larger buffer alone leaves the largest window as it was when the connection was accepted. */
    private static final IntegerUnixChannelOption WINDOW_CLAMP =
            new IntegerUnixChannelOption("TCP_WINDOW_CLAMP", IPPROTO_TCP, TCP_WINDOW_CLAMP);

    private static final System.Logger LOGGER = System.getLogger(ReceiveWindow.class.getName());

    private ReceiveWindow() {}

    /** Enlarges the buffer. Where the system does not allow that, long bodies only take longer to arrive. */
    static void enlarge(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_RCVBUF, BUFFER_BYTES);
            if (channel instanceof EpollSocketChannel) {
                channel.config().setOption(WINDOW_CLAMP, BUFFER_BYTES);
            }
        } catch (ChannelException e) {
            LOGGER.log(Level.DEBUG, "event=receive-window-not-enlarged", e);
        }
    }
}
