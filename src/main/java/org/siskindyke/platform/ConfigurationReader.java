package org.siskindyke.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.siskindyke.kernel.control.ConfigurationText;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.route.CallerLimits;
import org.siskindyke.kernel.route.Route;
import org.siskindyke.kernel.route.RouteKind;
import org.siskindyke.kernel.route.RoutingConfiguration;
import org.siskindyke.kernel.route.ServiceSettings;
import org.siskindyke.kernel.route.ServiceShare;

/** Parses the routing configuration that operators put into the platform's store. */
final class ConfigurationReader {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    /** Timeout of a route that sets none; the longest timeout of the users' requests. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 15_000;

    private static final int DEFAULT_MAX_CONNECTIONS = 32;
    private static final int LOWEST_PRIORITY = 9;

    private ConfigurationReader() {}

    /**
     * Parses a configuration.
     *
     * @throws SiskindykeException with code {@code INVALID_DOCUMENT} where the text is not JSON or has no valid
     *     version, or {@code INVALID_NAME} for a malformed service name
     */
    static RoutingConfiguration read(ConfigurationText text) {
        try {
            JsonNode root = MAPPER.readTree(text.text());
            return new RoutingConfiguration(version(root), routes(root), services(root), limits(root));
        } catch (IOException | NumberFormatException e) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_DOCUMENT, "configuration cannot be parsed: " + e.getMessage(), e);
        }
    }

    /** Returns the number of a version, which is written as lower-case letters followed by a number. */
    private static long version(JsonNode root) {
        String text = root.path("version").asText();
        return Long.parseLong(text.replaceFirst("^[a-z]+", ""));
    }

    private static List<Route> routes(JsonNode root) {
        List<Route> routes = new ArrayList<>();
        for (JsonNode host : root.path("virtual_hosts")) {
            String name = host.path("hostname").asText().toLowerCase(Locale.ROOT);
            for (JsonNode path : host.path("paths")) {
                routes.add(route(name, path));
            }
        }
        return routes;
    }

    private static Route route(String host, JsonNode path) {
        long timeoutMillis = path.path("timeout_ms").asLong(DEFAULT_TIMEOUT_MILLIS);
        return new Route(
                path.path("name").asText(),
                host,
                path.path("prefix").asText(),
                path.path("route_type").asText().equals("safe") ? RouteKind.SAFE : RouteKind.UNSAFE,
                timeoutMillis,
                path.path("aim_ms").asLong(timeoutMillis),
                path.path("priority").asInt(LOWEST_PRIORITY),
                Math.max(1, path.path("max_attempts").asInt(1)),
                shares(path));
    }

    private static List<ServiceShare> shares(JsonNode path) {
        if (path.hasNonNull("service")) {
            return List.of(new ServiceShare(ServiceName.of(path.path("service").asText()), 1));
        }
        List<ServiceShare> shares = new ArrayList<>();
        for (JsonNode share : path.path("traffic_split")) {
            shares.add(new ServiceShare(
                    ServiceName.of(share.path("service").asText()),
                    share.path("weight").asDouble(0)));
        }
        return shares;
    }

    private static Map<ServiceName, ServiceSettings> services(JsonNode root) {
        Map<ServiceName, ServiceSettings> services = new HashMap<>();
        for (JsonNode service : root.path("services")) {
            ServiceName name = ServiceName.of(service.path("name").asText());
            services.put(
                    name,
                    new ServiceSettings(
                            name,
                            service.path("sharded").asBoolean(false),
                            service.path("max_connections").asInt(DEFAULT_MAX_CONNECTIONS)));
        }
        return services;
    }

    private static CallerLimits limits(JsonNode root) {
        JsonNode limits = root.path("limits");
        CallerLimits defaults = CallerLimits.DEFAULT;
        return new CallerLimits(
                limits.path("max_header_bytes").asInt(defaults.maxHeaderBytes()),
                limits.path("max_body_bytes").asLong(defaults.maxBodyBytes()),
                limits.path("header_timeout_ms").asLong(defaults.headerTimeoutMillis()),
                limits.path("idle_timeout_ms").asLong(defaults.idleTimeoutMillis()));
    }
}
