package org.siskindyke.platform;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.Region;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.input.NumberField;
import org.siskindyke.kernel.place.Topology;
import org.siskindyke.runtime.DeploymentSettings;
import org.siskindyke.runtime.InstanceSettings;

/** Reads the settings file that the platform renders from {@code deploy/node.json.template}; ignores unknown fields. */
final class SettingsReader {
    /** The environment variable that names the settings file. */
    static final String PATH_VARIABLE = "SISKINDYKE_NODE_FILE";

    /** TCP port of the metrics endpoint; {@code deploy/system.toml} names the same port. */
    private static final int METRICS_PORT = 9464;

    /** The highest value of a number, some 30 years in milliseconds. */
    private static final long MAX_NUMBER = 1_000_000_000_000L;

    private static final String INBOUND_BIND = "/listen/inbound_bind";
    private static final String MAX_SKEW = "/bounds/max_skew_ms";
    private static final String EVACUATION = "/bounds/evacuate_ms";
    /** The platform's name for deployments in which calls compete for too little room. */
    private static final String RANKED_ADMISSION_CONTRACT = "pressure";

    private static final Duration DEFAULT_MAX_SKEW = Duration.ofSeconds(5);

    private SettingsReader() {}

    /**
     * Reads the settings.
     *
     * @param environment the environment variables
     * @throws SiskindykeException with code {@code INVALID_SETTING} where the variable is not set or the file cannot
     *     be read, or as {@link #parse} does
     */
    static InstanceSettings read(Map<String, String> environment) {
        String path = environment.get(PATH_VARIABLE);
        if (path == null) {
            throw new SiskindykeException(ErrorCode.INVALID_SETTING, PATH_VARIABLE + " is not set");
        }
        try {
            return parse(Files.readString(Path.of(path)));
        } catch (IOException e) {
            throw new SiskindykeException(ErrorCode.INVALID_SETTING, "cannot read " + path + ": " + e.getMessage(), e);
        }
    }

    /** Returns the modification time of the settings file in milliseconds since the epoch; 0 where there is no file. */
    static long modifiedMillis(Map<String, String> environment) {
        return new File(environment.getOrDefault(PATH_VARIABLE, "")).lastModified();
    }

    /**
     * Parses the settings.
     *
     * @param text the JSON text
     * @throws SiskindykeException with code {@code INVALID_SETTING} for a field that is missing or malformed, or {@code
     *     INVALID_NAME} for a malformed name
     */
    static InstanceSettings parse(String text) {
        JsonNode root;
        try {
            root = JsonMapper.builder().build().readTree(text);
        } catch (IOException e) {
            throw new SiskindykeException(ErrorCode.INVALID_SETTING, "settings are not JSON: " + e.getMessage(), e);
        }
        return new InstanceSettings(
                InstanceName.of(text(root, "/node_name")),
                FailureDomain.of(text(root, "/zone")),
                ServiceName.of(text(root, "/service")),
                // The platform's names: outbound for callers, inbound for peers, control for heartbeats.
                new InstanceSettings.Addresses(
                        address(root, "/listen/outbound"),
                        address(root, "/listen/inbound"),
                        address(root, root.at(INBOUND_BIND).isMissingNode() ? "/listen/inbound" : INBOUND_BIND),
                        address(root, "/listen/ready"),
                        address(root, "/listen/control"),
                        new InetSocketAddress(address(root, "/listen/inbound").getAddress(), METRICS_PORT)),
                address(root, "/platform/address"),
                millis(root, "/heartbeat_ms"),
                bounds(root),
                deployment(root));
    }

    private static DeploymentSettings deployment(JsonNode root) {
        DeploymentSettings defaults = DeploymentSettings.DEFAULT;
        return new DeploymentSettings(
                topology(root),
                lists(root.path("contracts"), RANKED_ADMISSION_CONTRACT),
                numberOr(root, "/bounds/cold_excess", defaults.coldExcessRatio()),
                numberOr(root, "/bounds/cold_slack", defaults.coldExtraRequests()),
                root.at(EVACUATION).isMissingNode() ? defaults.evacuation() : millis(root, EVACUATION));
    }

    private static Topology topology(JsonNode root) {
        Map<FailureDomain, Region> regions = new HashMap<>();
        root.path("zones").fields().forEachRemaining(zone -> {
            if (zone.getValue().isTextual()) {
                regions.put(
                        FailureDomain.of(zone.getKey()),
                        Region.of(zone.getValue().textValue()));
            }
        });
        return new Topology(regions);
    }

    private static boolean lists(JsonNode list, String text) {
        for (JsonNode entry : list) {
            if (entry.asText().equals(text)) {
                return true;
            }
        }
        return false;
    }

    private static double numberOr(JsonNode root, String pointer, double absent) {
        return root.at(pointer).isMissingNode() ? absent : number(root, pointer);
    }

    private static InstanceSettings.Bounds bounds(JsonNode root) {
        return new InstanceSettings.Bounds(
                millis(root, "/bounds/drain_ms"),
                seconds(root, "/bounds/grace_s"),
                millis(root, "/bounds/hold_max_ms"),
                number(root, "/bounds/retry_budget_ratio"),
                number(root, "/bounds/budget_extra"),
                seconds(root, "/bounds/budget_window_s"),
                root.at(MAX_SKEW).isMissingNode() ? DEFAULT_MAX_SKEW : millis(root, MAX_SKEW));
    }

    private static Duration millis(JsonNode root, String pointer) {
        return Duration.ofMillis(Math.round(number(root, pointer)));
    }

    private static Duration seconds(JsonNode root, String pointer) {
        return Duration.ofMillis(
                Math.round(number(root, pointer) * Duration.ofSeconds(1).toMillis()));
    }

    private static String text(JsonNode root, String pointer) {
        JsonNode node = root.at(pointer);
        if (!node.isTextual()) {
            throw invalid(pointer, "must be a string");
        }
        return node.textValue();
    }

    private static double number(JsonNode root, String pointer) {
        return new NumberField(ErrorCode.INVALID_SETTING, pointer, 0, MAX_NUMBER).readDecimal(root.at(pointer));
    }

    private static InetSocketAddress address(JsonNode root, String pointer) {
        return Addresses.parse(text(root, pointer))
                .orElseThrow(() -> invalid(pointer, "must be an IPv4 address and a port"));
    }

    private static SiskindykeException invalid(String pointer, String expectation) {
        return new SiskindykeException(ErrorCode.INVALID_SETTING, "setting " + pointer + " " + expectation);
    }
}
