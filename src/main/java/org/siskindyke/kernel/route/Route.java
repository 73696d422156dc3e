package org.siskindyke.kernel.route;

import java.util.List;

import org.siskindyke.kernel.place.AllowedRegions;

/**
 * Assigns requests to services: those to one host whose path starts with a prefix.
 *
 * @param name the route's name
 * @param host value of the Host header, in lower case and without a port
 * @param prefix prefix of the path, compared as a string: {@code /a} also matches {@code /ab}
 * @param kind whether a request may run more than once
 * @param timeoutMillis maximum time from a request to its response
 * @param objectiveMillis latency objective, from a request to its response; a later response is worth less
 * @param priority rank among the routes of a service; 0 is the highest
 * @param maxAttempts maximum number of attempts that may reach a backend server; refusals by routers do not count
 * @param shares the services with their weights
 * @param allowedRegions the regions whose servers may get its requests
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        int maxAttempts,
        List<ServiceShare> shares,
        AllowedRegions allowedRegions) {
    /** Copies the list. */
    public Route {
        shares = List.copyOf(shares);
    }
}
