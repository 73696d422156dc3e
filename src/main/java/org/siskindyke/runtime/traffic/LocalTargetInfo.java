package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;

import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;

/**
 * The backend server beside this router, as it has announced itself.
 *
 * @param service the service it serves
 * @param name its name; another after most restarts
 * @param address where it takes requests
 * @param slots requests that it runs at a time
 * @param connections connections that it accepts
 * @param divided whether it runs only requests whose keys it holds
 */
public record LocalTargetInfo(
        ServiceName service, TargetName name, InetSocketAddress address, int slots, int connections, boolean divided) {}
