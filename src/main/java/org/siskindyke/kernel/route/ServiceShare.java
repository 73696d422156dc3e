package org.siskindyke.kernel.route;

import org.siskindyke.kernel.id.ServiceName;

/**
 * A part of a route's traffic.
 *
 * @param service the service that gets it
 * @param weight its weight among the parts of the route; not negative
 */
public record ServiceShare(ServiceName service, double weight) {}
