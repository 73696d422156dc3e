package org.siskindyke.platform;

import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.kernel.control.ConfigurationText;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.route.Route;
import org.siskindyke.kernel.route.RoutingConfiguration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Reads configurations of which a part is malformed. */
class ConfigurationReaderTest {
    private static final String GOOD = route("good", "/good/", "1000", "\"service\":\"plain\"");

    /** Guards against one malformed route that keeps all others of its configuration from being served. */
    @Example
    void aMalformedRouteIsLeftOutAndTheOthersAreServed() {
        for (String malformed : List.of(
                route("name", "/name/", "1000", "\"service\":\"not a name\""),
                route("empty-prefix", "", "1000", "\"service\":\"plain\""),
                route("open-prefix", "/open", "1000", "\"service\":\"plain\""),
                route("timeout", "/timeout/", "0", "\"service\":\"plain\""),
                route("no-service", "/none/", "1000", "\"traffic_split\":[]"),
                route("weight", "/weight/", "1000", "\"traffic_split\":[{\"service\":\"plain\",\"weight\":-1}]"))) {
            RoutingConfiguration read = read(configuration(malformed + "," + GOOD));
            assertEquals(
                    List.of("good"), read.routes().stream().map(Route::name).toList(), malformed);
            assertEquals(1, read.omitted().size(), malformed);
        }
    }

    /** Guards against a text without routes that replaces all routes. */
    @Example
    void aConfigurationWithoutAnyReadableRouteIsRefused() {
        for (String text : List.of(
                "{\"version\":\"r2\"}",
                "{\"version\":\"r2\",\"virtual_hosts\":{}}",
                configuration(route("open-prefix", "/open", "1000", "\"service\":\"plain\"")))) {
            assertThrows(SiskindykeException.class, () -> read(text), text);
        }
    }

    @Example
    void aConfigurationThatListsNoRoutesIsRead() {
        assertEquals(List.of(), read(configuration("")).routes());
    }

    private static RoutingConfiguration read(String text) {
        return ConfigurationReader.read(new ConfigurationText(1, text));
    }

    private static String route(String name, String prefix, String timeoutMillis, String target) {
        return "{\"name\":\"" + name + "\",\"prefix\":\"" + prefix + "\",\"route_type\":\"safe\",\"timeout_ms\":"
                + timeoutMillis + "," + target + "}";
    }

    private static String configuration(String routes) {
        return "{\"version\":\"r2\",\"services\":[{\"name\":\"plain\"}],"
                + "\"virtual_hosts\":[{\"hostname\":\"h.example\",\"paths\":[" + routes + "]}]}";
    }
}
