package org.siskindyke.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.siskindyke.kernel.control.ConfigurationText;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.Region;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.input.NumberField;
import org.siskindyke.kernel.place.AllowedRegions;
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
    private static final NumberField VERSION = field("version", 0, NumberField.MAX_EXACT);
    private static final NumberField MILLIS =
            field("timeout_ms or aim_ms", 1, Duration.ofDays(1).toMillis());
    private static final NumberField PRIORITY = field("priority", 0, 1_000_000);
    private static final NumberField ATTEMPTS = field("max_attempts", 0, 1_000_000);
    private static final NumberField WEIGHT = field("weight", 0, NumberField.MAX_EXACT);
    private static final NumberField CONNECTIONS = field("max_connections", 0, 1_000_000);
    private static final NumberField COLD_RATE = field("cold_per_s", 0, 1_000_000);
    private static final NumberField BYTES = field("max_header_bytes or max_body_bytes", 0, Integer.MAX_VALUE);

    private final List<String> omitted = new ArrayList<>();

    private ConfigurationReader() {}

    private static NumberField field(String name, long min, long max) {
        return new NumberField(ErrorCode.INVALID_DOCUMENT, name, min, max);
    }

    /**
     * Parses a configuration. Malformed routes and services are left out, see {@link RoutingConfiguration#omitted}.
     *
     * @throws SiskindykeException with code {@code INVALID_DOCUMENT} where the text is not JSON, has no valid version
     *     or no list of hosts, or lists routes of which none is valid
     */
    static RoutingConfiguration read(ConfigurationText text) {
        try {
            return new ConfigurationReader().read(MAPPER.readTree(text.text()));
        } catch (IOException e) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_DOCUMENT, "configuration cannot be parsed: " + e.getMessage(), e);
        }
    }

    private RoutingConfiguration read(JsonNode root) {
        check(root.path("virtual_hosts").isArray(), "configuration has no list virtual_hosts");
        List<Route> routes = routes(root);
        check(!routes.isEmpty() || omitted.isEmpty(), "configuration has no valid route: " + omitted);
        List<CallerLimits> limits = new ArrayList<>();
        addOrOmit(limits, () -> limits(root), root.path("limits"));
        limits.add(CallerLimits.DEFAULT);
        return new RoutingConfiguration(version(root), routes, services(root), limits.get(0), omitted);
    }

    private static void check(boolean condition, String problem) {
        if (!condition) {
            throw new SiskindykeException(ErrorCode.INVALID_DOCUMENT, problem);
        }
    }

    /**
     * Returns a configuration with the version that its text names.
     *
     * @throws SiskindykeException with code {@code INVALID_DOCUMENT} where the text is not JSON or has no valid version
     */
    static ConfigurationText withVersion(String text) {
        try {
            return new ConfigurationText(version(MAPPER.readTree(text)), text);
        } catch (IOException e) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_DOCUMENT, "configuration has no valid version: " + e.getMessage(), e);
        }
    }

    /** Returns the number of a version, which is written as lower-case letters followed by a number. */
    private static long version(JsonNode root) {
        String text = root.path("version").asText();
        return VERSION.parse(text.replaceFirst("^[a-z]+", ""));
    }

    private List<Route> routes(JsonNode root) {
        List<Route> routes = new ArrayList<>();
        for (JsonNode host : root.path("virtual_hosts")) {
            String name = host.path("hostname").asText().toLowerCase(Locale.ROOT);
            for (JsonNode path : host.path("paths")) {
                addOrOmit(routes, () -> route(name, path), path);
            }
        }
        return routes;
    }

    private <T> void addOrOmit(List<T> entries, Supplier<T> reader, JsonNode encoded) {
        try {
            entries.add(reader.get());
        } catch (SiskindykeException e) {
            omitted.add(encoded.path("name").asText() + ": " + e.getMessage());
        }
    }

    private static Route route(String host, JsonNode path) {
        String prefix = path.path("prefix").asText();
        long timeoutMillis = MILLIS.readOr(path.path("timeout_ms"), DEFAULT_TIMEOUT_MILLIS);
        check(!host.isEmpty(), "hostname is required");
        check(prefix.startsWith("/") && prefix.endsWith("/"), "prefix must begin and end with a slash");
        return new Route(
                path.path("name").asText(),
                host,
                prefix,
                path.path("route_type").asText().equals("safe") ? RouteKind.SAFE : RouteKind.UNSAFE,
                timeoutMillis,
                MILLIS.readOr(path.path("aim_ms"), timeoutMillis),
                PRIORITY.readIntOr(path.path("priority"), LOWEST_PRIORITY),
                Math.max(1, ATTEMPTS.readIntOr(path.path("max_attempts"), 1)),
                shares(path),
                allowedRegions(path));
    }

    /** Returns the allowed regions; a malformed list is an error, as the route must not be served everywhere then. */
    private static AllowedRegions allowedRegions(JsonNode path) {
        JsonNode list = path.path("allowed_regions");
        if (list.isMissingNode() || list.isNull()) {
            return AllowedRegions.ALL;
        }
        check(list.isArray(), "allowed_regions must be a list");
        Set<Region> regions = new HashSet<>();
        for (JsonNode region : list) {
            check(region.isTextual(), "allowed_regions must contain names of regions");
            regions.add(Region.of(region.textValue()));
        }
        return new AllowedRegions(regions);
    }

    private static List<ServiceShare> shares(JsonNode path) {
        if (path.hasNonNull("service")) {
            return List.of(new ServiceShare(ServiceName.of(path.path("service").asText()), 1));
        }
        List<ServiceShare> shares = new ArrayList<>();
        for (JsonNode share : path.path("traffic_split")) {
            double weight = share.hasNonNull("weight") ? WEIGHT.readDecimal(share.path("weight")) : 0;
            shares.add(new ServiceShare(ServiceName.of(share.path("service").asText()), weight));
        }
        check(!shares.isEmpty(), "a service or traffic_split is required");
        return shares;
    }

    private Map<ServiceName, ServiceSettings> services(JsonNode root) {
        List<ServiceSettings> read = new ArrayList<>();
        for (JsonNode service : root.path("services")) {
            addOrOmit(read, () -> service(service), service);
        }
        Map<ServiceName, ServiceSettings> services = new HashMap<>();
        read.forEach(settings -> services.put(settings.service(), settings));
        return services;
    }

    private static ServiceSettings service(JsonNode service) {
        return new ServiceSettings(
                ServiceName.of(service.path("name").asText()),
                service.path("sharded").asBoolean(false),
                CONNECTIONS.readIntOr(service.path("max_connections"), DEFAULT_MAX_CONNECTIONS),
                service.hasNonNull("cold_per_s") ? COLD_RATE.readDecimal(service.path("cold_per_s")) : 0);
    }

    private static CallerLimits limits(JsonNode root) {
        JsonNode limits = root.path("limits");
        CallerLimits defaults = CallerLimits.DEFAULT;
        return new CallerLimits(
                BYTES.readIntOr(limits.path("max_header_bytes"), defaults.maxHeaderBytes()),
                BYTES.readOr(limits.path("max_body_bytes"), defaults.maxBodyBytes()),
                MILLIS.readOr(limits.path("header_timeout_ms"), defaults.headerTimeoutMillis()),
                MILLIS.readOr(limits.path("idle_timeout_ms"), defaults.idleTimeoutMillis()));
    }
}
