package org.siskindyke.kernel.route;

import java.util.List;
import java.util.Map;

import org.siskindyke.kernel.id.ServiceName;

/**
 * Everything that decides where requests go.
 *
 * @param version the operators' number of this configuration; grows with each change
 * @param routes the routes
 * @param services the services by name
 * @param limits bounds on callers
 */
public record RoutingConfiguration(
        long version, List<Route> routes, Map<ServiceName, ServiceSettings> services, CallerLimits limits) {
    /** Copies the collections. */
    public RoutingConfiguration {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
    }
}
