package org.siskindyke.kernel.route;

import org.siskindyke.kernel.id.ServiceName;

/**
 * What a configuration says of a service.
 *
 * @param service the service
 * @param divided whether its keys are divided among its targets
 * @param maxConnectionsPerTarget most connections that one of its targets accepts
 */
public record ServiceSettings(ServiceName service, boolean divided, int maxConnectionsPerTarget) {}
