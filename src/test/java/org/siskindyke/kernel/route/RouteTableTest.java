package org.siskindyke.kernel.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.place.AllowedRegions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RouteTableTest {
    private static final ServiceName A = ServiceName.of("a");
    private static final ServiceName B = ServiceName.of("b");

    private static Route route(String name, String host, String prefix, ServiceShare... shares) {
        return new Route(name, host, prefix, RouteKind.SAFE, 1_000, 100, 1, 2, List.of(shares), AllowedRegions.ALL);
    }

    private static RouteTable table(Route... routes) {
        return new RouteTable(new RoutingConfiguration(1, List.of(routes), Map.of(), CallerLimits.DEFAULT, List.of()));
    }

    @Example
    void theLongestPrefixOfTheHostWins() {
        RouteTable table = table(
                route("short", "h.example", "/x/", new ServiceShare(A, 1)),
                route("long", "h.example", "/x/y/", new ServiceShare(A, 1)),
                route("other", "g.example", "/x/y/z/", new ServiceShare(A, 1)));
        assertEquals(
                "long", table.find("H.example:80", "/x/y/z/1").orElseThrow().name());
        assertEquals("short", table.find("h.example", "/x/q").orElseThrow().name());
        assertTrue(table.find("h.example", "/y/").isEmpty());
        assertTrue(table.find(null, "/x/").isEmpty());
    }

    @Example
    void sharesFollowTheWeightsInEveryWindow() {
        RouteTable table = table(route("r", "h", "/", new ServiceShare(A, 90), new ServiceShare(B, 10)));
        Route route = table.find("h", "/").orElseThrow();
        for (int window = 0; window < 5; window++) {
            Map<ServiceName, Integer> counts = new HashMap<>();
            for (int i = 0; i < 10; i++) {
                counts.merge(table.nextService(route).orElseThrow(), 1, Integer::sum);
            }
            assertEquals(1, counts.get(B));
        }
    }

    @Example
    void aRouteWithoutWeightHasNoService() {
        RouteTable table = table(route("r", "h", "/", new ServiceShare(A, 0), new ServiceShare(B, 0)));
        assertTrue(table.nextService(table.find("h", "/").orElseThrow()).isEmpty());
    }
}
