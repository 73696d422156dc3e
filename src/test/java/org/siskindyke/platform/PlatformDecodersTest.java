package org.siskindyke.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.siskindyke.OddJson;
import org.siskindyke.kernel.control.ConfigurationText;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.grant.GrantReply;
import org.siskindyke.kernel.grant.TargetGrants;
import org.siskindyke.kernel.grant.TargetHeartbeat;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.place.Distance;
import org.siskindyke.kernel.route.Route;
import org.siskindyke.kernel.route.RouteKind;
import org.siskindyke.kernel.route.RoutingConfiguration;
import org.siskindyke.kernel.table.TableEra;
import org.siskindyke.runtime.DeploymentSettings;
import org.siskindyke.runtime.InstanceSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PlatformDecodersTest {
    private static final String SETTINGS = "{\"node_name\":\"n-1\",\"zone\":\"kalna\",\"service\":\"s\",\"new\":1,"
            + "\"listen\":{\"inbound\":\"10.1.0.8:1\",\"outbound\":\"10.1.0.8:2\",\"ready\":\"10.1.0.8:3\","
            + "\"control\":\"10.1.0.8:4\"},\"platform\":{\"address\":\"10.2.0.7:5\"},\"heartbeat_ms\":870,"
            + "\"bounds\":{\"drain_ms\":2000,\"grace_s\":6,\"hold_max_ms\":10000,\"retry_budget_ratio\":0.2,"
            + "\"budget_extra\":60,\"budget_window_s\":10}}";
    private static final String HEARTBEAT = "{\"service\":\"s\",\"address\":\"10.1.0.9:80\",\"slots\":6,"
            + "\"state\":\"ready\",\"cold_left_ms\":0,\"born\":12,\"seq_num\":4,\"holds\":[[0,9,7]],"
            + "\"freed\":[[10,19,\"5c\"]]}";
    private static final String CONFIGURATION = "{\"version\":\"r7\",\"services\":[{\"name\":\"s\","
            + "\"max_connections\":9,\"sharded\":true}],\"limits\":{\"max_body_bytes\":100},\"virtual_hosts\":["
            + "{\"hostname\":\"H.example\",\"paths\":[{\"name\":\"r\",\"prefix\":\"/x/\",\"route_type\":\"unsafe\","
            + "\"timeout_ms\":1500,\"aim_ms\":500,\"priority\":1,\"max_attempts\":2,\"traffic_split\":["
            + "{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}]}]}]}";

    @Example
    void settingsAreReadAndUnknownFieldsIgnored() {
        InstanceSettings settings = SettingsReader.parse(SETTINGS);
        assertEquals("n-1", settings.instance().value());
        assertEquals(6_000, settings.bounds().grace().toMillis());
        assertEquals(settings.addresses().peers(), settings.addresses().peersBind());
    }

    @Example
    void theLocalAddressForOtherRoutersMayDifferFromTheOneThatTheyConnectTo() {
        String bound = SETTINGS.replace("\"inbound\":", "\"inbound_bind\":\"10.1.0.8:9\",\"inbound\":");
        InstanceSettings.Addresses addresses = SettingsReader.parse(bound).addresses();
        assertEquals(9, addresses.peersBind().getPort());
        assertEquals(1, addresses.peers().getPort());
    }

    /** Guards against a deployment with regions or ranks in its settings that is served as one without. */
    @Example
    void theDeploymentIsReadFromTheSettings() {
        String deployment = SETTINGS.replace(
                "\"new\":1,",
                "\"zones\":{\"kalna\":\"east\",\"katwa\":\"west\"},\"contracts\":[\"base\",\"pressure\"],");
        DeploymentSettings settings = SettingsReader.parse(deployment).deployment();
        assertTrue(settings.rankedAdmission());
        assertEquals(
                Distance.OTHER_REGION,
                settings.topology().distance(FailureDomain.of("kalna"), FailureDomain.of("katwa")));
        assertEquals(DeploymentSettings.DEFAULT, SettingsReader.parse(SETTINGS).deployment());
    }

    @Example
    void aMissingSettingIsNamed() {
        SiskindykeException error = assertThrows(
                SiskindykeException.class, () -> SettingsReader.parse(SETTINGS.replace("heartbeat_ms", "other")));
        assertEquals(ErrorCode.INVALID_SETTING, error.code());
        assertTrue(error.getMessage().contains("/heartbeat_ms"));
    }

    @Example
    void aConfigurationIsRead() {
        RoutingConfiguration read = ConfigurationReader.read(new ConfigurationText(3, CONFIGURATION));
        Route route = read.routes().get(0);
        assertEquals(7, read.version());
        assertEquals("h.example", route.host());
        assertEquals(RouteKind.UNSAFE, route.kind());
        assertEquals(2, route.shares().size());
        assertTrue(read.services().get(ServiceName.of("s")).divided());
    }

    @Example
    void aHeartbeatIsRead() {
        HeartbeatCodec.ReceivedHeartbeat received =
                HeartbeatCodec.read("i-1", HEARTBEAT.getBytes(StandardCharsets.UTF_8));
        assertEquals(7, received.heartbeat().activeRanges().get(0).token());
        assertEquals("5c", received.heartbeat().releasedRanges().get(0).handover());
    }

    /** A decoder may accept damaged input; otherwise it throws an error with a code that is not INTERNAL. */
    @Property(tries = 3_000, seed = "41")
    void damagedInputIsReadOrRejectedWithACode(@ForAll long seed) {
        Random random = new Random(seed);
        decode(() -> SettingsReader.parse(damaged(SETTINGS, random)));
        decode(() -> HeartbeatCodec.read("i-1", damaged(HEARTBEAT, random).getBytes(StandardCharsets.UTF_8)));
        decode(() -> ConfigurationReader.read(new ConfigurationText(1, damaged(CONFIGURATION, random))));
    }

    /** Odd values in place of true ones are read or rejected with a code, never rounded, truncated or wrapped. */
    @Property(tries = 3_000, seed = "42")
    void anOddValueIsReadOrRejectedWithACode(@ForAll long seed) {
        Random random = new Random(seed);
        String row = "{\"key\":\"members/a:1\",\"ver\":7,\"value\":\"e30=\",\"table\":\"routers\",\"part\":\"\"}";
        decode(() -> SettingsReader.parse(OddJson.of(SETTINGS, random)));
        decode(() -> ConfigurationReader.read(new ConfigurationText(1, OddJson.of(CONFIGURATION, random))));
        decode(() -> {
            StoreRow read = StoreRow.read(parse(OddJson.of(row, random)));
            assertTrue(read.version() >= 0 && read.version() <= TableEra.MAX_VERSION);
        });
        decode(() -> {
            TargetHeartbeat read = HeartbeatCodec.read(
                            "i-1", OddJson.of(HEARTBEAT, random).getBytes(StandardCharsets.UTF_8))
                    .heartbeat();
            assertTrue(read.slots() >= 0 && read.sequence() >= 0 && read.startMillis() >= 0);
            read.activeRanges().forEach(range -> assertTrue(range.first() <= range.last() && range.token() >= 0));
        });
    }

    /** Guards against a large configuration that no router puts into force. */
    @Example
    void aRowOfTheOperatorMayBeLongerThanOneOfOurs() {
        String value = "x".repeat(300_000);
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        StoreRow read = StoreRow.read(parse("{\"key\":\"config\",\"ver\":7,\"value\":\"" + encoded + "\"}"));
        assertEquals(value, read.value());
    }

    private static JsonNode parse(String text) {
        try {
            return JsonMapper.builder().build().readTree(text);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }

    /** Handover data with a quote must not break the acknowledgement. */
    @Example
    void handoverDataIsEscapedInAnAcknowledgement() throws JsonProcessingException {
        GrantReply reply = new GrantReply(true, List.of(new GrantReply.GrantedRange(0, 9, 7, "a\"\\b")), 100);
        JsonNode read = JsonMapper.builder().build().readTree(HeartbeatCodec.write(reply));
        assertEquals("a\"\\b", read.path("holds").path(0).path(3).asText());
    }

    private static void decode(Runnable decoder) {
        try {
            decoder.run();
        } catch (SiskindykeException e) {
            assertTrue(e.code() != ErrorCode.INTERNAL);
        }
    }

    private static String damaged(String text, Random random) {
        StringBuilder damaged = new StringBuilder(text);
        int changes = 1 + random.nextInt(4);
        for (int i = 0; i < changes; i++) {
            if (damaged.length() == 0) {
                break;
            }
            int at = random.nextInt(damaged.length());
            switch (random.nextInt(4)) {
                case 0 -> damaged.deleteCharAt(at);
                case 1 -> damaged.setCharAt(at, (char) random.nextInt(256));
                case 2 -> damaged.insert(at, "{}[]\",:-9e".charAt(random.nextInt(10)));
                default -> damaged.setLength(Math.max(1, at));
            }
        }
        return damaged.toString();
    }

    /**
     * The last backend server of a service is granted all slices. Where neighbouring slices have different tokens, no
     * ranges merge, and the acknowledgement is longest; the platform ignores one of more than 4 KiB.
     */
    @Example
    void anAcknowledgementOfAllSlicesWithHandoversHasAtMostFourKibibytes() {
        TargetGrants grants = new TargetGrants(128, 3_000, 0);
        List<OwnedSlice> owned = new ArrayList<>();
        for (int index = 0; index < 128; index++) {
            owned.add(new OwnedSlice(index, 5_000 + index % 2, 0, "5c0e7a21d94b36f8"));
        }
        TargetHeartbeat heartbeat =
                new TargetHeartbeat(ServiceName.of("s"), TargetName.of("i-1"), 4, false, 0, 1, 1, List.of(), List.of());
        String answer = HeartbeatCodec.write(grants.onHeartbeat(heartbeat, owned, 1_000_000, 0));
        assertTrue(answer.length() <= 4_096, "an answer of " + answer.length() + " bytes");
    }
}
