package org.siskindyke.kernel.route;

import java.util.List;

/**
 * Sends the requests of a host whose path begins with a prefix to services.
 *
 * @param name the route's name
 * @param host value of the Host header, in lower case and without a port
 * @param prefix beginning of the path
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a request may take
 * @param objectiveMillis time within which an answer is worth most
 * @param priority rank among the routes of a service; 0 is the highest
 * @param maxTargets most targets that a request may be sent to
 * @param shares the services, with weights
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        int maxTargets,
        List<ServiceShare> shares) {
    /** Copies the list. */
    public Route {
        shares = List.copyOf(shares);
    }
}
