package org.siskindyke.kernel.route;

import org.siskindyke.kernel.id.ServiceName;

/**
 * Settings of one service in a configuration.
 *
 * @param service the service
 * @param divided whether its keys are divided among its targets
 * @param maxConnectionsPerTarget maximum number of connections that each of its targets accepts
 */
public record ServiceSettings(ServiceName service, boolean divided, int maxConnectionsPerTarget) {}
