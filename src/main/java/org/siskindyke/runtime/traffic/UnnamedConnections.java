package org.siskindyke.runtime.traffic;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

import io.netty.channel.Channel;

/**
 * The accepted connections on which no router has named itself yet. Anybody may open such connections, so their number
 * is limited. Confined to the traffic loop.
 */
final class UnnamedConnections {
    private final int maxConnections;
    private final Set<Channel> channels = new LinkedHashSet<>();

    UnnamedConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Adds a connection; closes the oldest one if there are too many. */
    void add(Channel channel) {
        channels.add(channel);
        if (channels.size() > maxConnections) {
            Iterator<Channel> oldestFirst = channels.iterator();
            Channel oldest = oldestFirst.next();
            oldestFirst.remove();
            oldest.close();
        }
    }

    /** Removes a connection that was named or has ended. */
    void remove(Channel channel) {
        channels.remove(channel);
    }
}
