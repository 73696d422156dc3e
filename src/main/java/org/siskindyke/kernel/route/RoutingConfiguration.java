package org.siskindyke.kernel.route;

import java.util.List;
import java.util.Map;

import org.siskindyke.kernel.id.ServiceName;

/**
 * The routes, the services and the limits on callers.
 *
 * @param version version that operators give the configuration; grows with each change
 * @param routes the routes
 * @param services the services by name
 * @param limits limits on callers
 * @param omitted malformed routes and services that were left out, each with the reason
 */
public record RoutingConfiguration(
        long version,
        List<Route> routes,
        Map<ServiceName, ServiceSettings> services,
        CallerLimits limits,
        List<String> omitted) {
    /** Copies the collections. */
    public RoutingConfiguration {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        omitted = List.copyOf(omitted);
    }
}
