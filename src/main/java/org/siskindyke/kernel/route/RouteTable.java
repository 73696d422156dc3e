package org.siskindyke.kernel.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.siskindyke.kernel.id.ServiceName;

/** Finds the route of a request and the service that receives it. Confined to the traffic loop. */
public final class RouteTable {
    private final RoutingConfiguration configuration;
    private final Map<String, List<Route>> byHost = new HashMap<>();
    private final Map<Route, double[]> creditsByRoute = new HashMap<>();

    /** Creates a table of the routes in a configuration. */
    public RouteTable(RoutingConfiguration configuration) {
        this.configuration = configuration;
        for (Route route : configuration.routes()) {
            byHost.computeIfAbsent(route.host(), h -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.prefix().length()).reversed();
        byHost.values().forEach(routes -> routes.sort(longestFirst));
    }

    public RoutingConfiguration configuration() {
        return configuration;
    }

    /**
     * Finds the route with the longest matching prefix.
     *
     * @param hostHeader value of the Host header, possibly with a port
     * @param path the path, with or without a query
     * @return the route; empty if none matches
     */
    public Optional<Route> find(String hostHeader, String path) {
        if (hostHeader == null) {
            return Optional.empty();
        }
        for (Route route : byHost.getOrDefault(hostName(hostHeader), List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Chooses the service for the next request of a route by smooth weighted round robin, so that each service gets
     * about its share in any run of consecutive requests.
     *
     * @param route a route of this table
     * @return the service; empty if the route has several services whose weights are all 0, or no service
     */
    public Optional<ServiceName> nextService(Route route) {
        List<ServiceShare> shares = route.shares();
        if (shares.size() == 1) {
            return Optional.of(shares.get(0).service());
        }
        double total = shares.stream().mapToDouble(ServiceShare::weight).sum();
        if (total <= 0) {
            return Optional.empty();
        }
        double[] credit = creditsByRoute.computeIfAbsent(route, r -> new double[shares.size()]);
        int best = 0;
        for (int i = 0; i < credit.length; i++) {
            credit[i] += shares.get(i).weight();
            best = credit[i] > credit[best] ? i : best;
        }
        credit[best] -= total;
        return Optional.of(shares.get(best).service());
    }

    private static String hostName(String hostHeader) {
        int colon = hostHeader.indexOf(':');
        String host = colon < 0 ? hostHeader : hostHeader.substring(0, colon);
        return host.toLowerCase(Locale.ROOT);
    }
}
