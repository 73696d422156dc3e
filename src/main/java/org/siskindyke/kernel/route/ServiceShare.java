package org.siskindyke.kernel.route;

import org.siskindyke.kernel.id.ServiceName;

/**
 * The share of a route's traffic that one service receives.
 *
 * @param service the service
 * @param weight weight relative to the other services of the route; not negative
 */
public record ServiceShare(ServiceName service, double weight) {}
