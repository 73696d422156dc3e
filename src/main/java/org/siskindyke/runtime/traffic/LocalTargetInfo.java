package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;

import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;

/**
 * Describes the backend server beside this router by its last heartbeat and the configuration of its service.
 *
 * @param service the service that it runs
 * @param name its name, which changes with most restarts
 * @param startMillis when it started, by its own clock, in milliseconds since the epoch
 * @param address the address at which it accepts requests
 * @param slots the number of requests that it runs at a time
 * @param connections the maximum number of connections that the router opens to it, from the configuration
 * @param divided whether its service is divided by the configuration, so that it runs only requests whose slices are
 *     granted to it
 */
public record LocalTargetInfo(
        ServiceName service,
        TargetName name,
        long startMillis,
        InetSocketAddress address,
        int slots,
        int connections,
        boolean divided) {
    /** Returns whether another description is of the same incarnation at the same address. */
    boolean isSameIncarnation(LocalTargetInfo other) {
        return name.equals(other.name) && startMillis == other.startMillis && address.equals(other.address);
    }
}
