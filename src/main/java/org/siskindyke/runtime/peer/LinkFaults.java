package org.siskindyke.runtime.peer;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Drops messages to chosen peers on purpose, so that trials can cut links one way or both ways. */
public final class LinkFaults {
    private final Set<Integer> cutPorts = ConcurrentHashMap.newKeySet();

    /** Replaces the set of peer ports that messages are not delivered to. */
    public void setCutPorts(Set<Integer> ports) {
        cutPorts.retainAll(ports);
        cutPorts.addAll(ports);
    }

    /** Tells whether messages to a peer port are dropped. */
    public boolean isCut(int port) {
        return !cutPorts.isEmpty() && cutPorts.contains(port);
    }
}
