package org.siskindyke.runtime.peer;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Fault injection: drops messages to chosen peer ports, so that trials can cut links in one or both directions. */
public final class LinkFaults {
    private final Set<Integer> cutPorts = ConcurrentHashMap.newKeySet();

    /** Replaces the set of peer ports to which messages are dropped; an empty set ends the fault. */
    public void setCutPorts(Set<Integer> ports) {
        cutPorts.retainAll(ports);
        cutPorts.addAll(ports);
    }

    /** Returns whether messages to a peer port are dropped. */
    public boolean isCut(int port) {
        return !cutPorts.isEmpty() && cutPorts.contains(port);
    }
}
