package org.siskindyke.kernel.membership;

import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;

/**
 * A backend server as it announced itself to the router beside it.
 *
 * @param service the service it serves
 * @param target its name among the service's targets
 * @param host IP address
 * @param port TCP port
 * @param accepting whether it accepts new work; if not, its slices are being handed over to other members
 * @param checksGrants whether it refuses and aborts calls outside the grant that its router renews
 */
public record TargetAnnouncement(
        ServiceName service, TargetName target, String host, int port, boolean accepting, boolean checksGrants) {}
