package org.siskindyke.kernel.route;

import org.siskindyke.kernel.id.ServiceName;

/**
 * Settings of one service in a configuration.
 *
 * @param service the service
 * @param divided whether its keys are divided among its targets
 * @param maxConnectionsPerTarget maximum number of connections that each of its targets accepts
 * @param coldCallsPerSecond requests per second that a cold target sustains; 0 where it takes as many as a warm one
 */
public record ServiceSettings(
        ServiceName service, boolean divided, int maxConnectionsPerTarget, double coldCallsPerSecond) {}
