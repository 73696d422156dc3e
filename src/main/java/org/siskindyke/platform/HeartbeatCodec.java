package org.siskindyke.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.grant.GrantReply;
import org.siskindyke.kernel.grant.GrantReply.GrantedRange;
import org.siskindyke.kernel.grant.TargetHeartbeat;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.input.NumberField;
import org.siskindyke.kernel.ownership.KeyRange;

/** Parses heartbeats of backend servers and writes the acknowledgements. */
final class HeartbeatCodec {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final int RANGE_FIELDS = 3;
    private static final int MAX_HANDOVER_LENGTH = 256;
    /** Ranges in one list; an acknowledgement grants far fewer. */
    private static final int MAX_RANGES = 8_192;

    private static final int MAX_SLOTS = 10_000;
    private static final long MAX_WARM_UP_MILLIS = Duration.ofDays(1).toMillis();
    private static final NumberField SLOTS = NumberField.ofMessage("slots", 0, MAX_SLOTS);
    private static final NumberField WARM_UP_MILLIS = NumberField.ofMessage("cold_left_ms", 0, MAX_WARM_UP_MILLIS);
    private static final NumberField START_MILLIS = NumberField.ofMessage("born", 0, NumberField.MAX_EXACT);
    private static final NumberField SEQUENCE = NumberField.ofMessage("seq_num", 0, NumberField.MAX_EXACT);
    private static final NumberField KEY = NumberField.ofMessage("holds or freed", 0, KeyRange.KEY_COUNT - 1);
    private static final NumberField TOKEN = NumberField.ofMessage("holds", 0, Long.MAX_VALUE);

    private HeartbeatCodec() {}

    /**
     * A heartbeat and the address in it.
     *
     * @param heartbeat the state that the backend server reports
     * @param address the address on which the backend server accepts requests
     */
    record ReceivedHeartbeat(TargetHeartbeat heartbeat, InetSocketAddress address) {}

    /**
     * Parses a heartbeat. A list of ranges that is missing counts as empty, and fields that the router does not use,
     * such as the version, are ignored.
     *
     * @param id the backend server's id, from the request path
     * @param body the JSON body
     * @throws SiskindykeException with code {@code INVALID_REQUEST} for any other field that is missing or malformed,
     *     and for a list of more than 8,192 ranges, or {@code INVALID_NAME} for a service or an id that is no valid
     *     name
     */
    static ReceivedHeartbeat read(String id, byte[] body) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (IOException e) {
            throw new SiskindykeException(ErrorCode.INVALID_REQUEST, "heartbeat is not JSON", e);
        }
        String state = text(root, "state");
        if (!state.equals("ready") && !state.equals("draining")) {
            throw invalid("state");
        }
        InetSocketAddress address = Addresses.parse(text(root, "address")).orElseThrow(() -> invalid("address"));
        TargetHeartbeat heartbeat = new TargetHeartbeat(
                ServiceName.of(text(root, "service")),
                TargetName.of(id),
                SLOTS.readInt(root.path("slots")),
                state.equals("draining"),
                WARM_UP_MILLIS.read(root.path("cold_left_ms")),
                START_MILLIS.read(root.path("born")),
                SEQUENCE.read(root.path("seq_num")),
                ranges(root, "holds", HeartbeatCodec::activeRange),
                ranges(root, "freed", HeartbeatCodec::releasedRange));
        return new ReceivedHeartbeat(heartbeat, address);
    }

    private static String text(JsonNode root, String field) {
        JsonNode node = root.path(field);
        if (!node.isTextual()) {
            throw invalid(field);
        }
        return node.textValue();
    }

    private static <T> List<T> ranges(JsonNode root, String field, Function<JsonNode, T> reader) {
        JsonNode list = root.path(field);
        if (!list.isArray() && !list.isMissingNode() || list.size() > MAX_RANGES) {
            throw invalid(field);
        }
        List<T> ranges = new ArrayList<>();
        for (JsonNode range : list) {
            boolean isRange = range.isArray() && range.size() >= RANGE_FIELDS;
            if (!isRange || KEY.read(range.get(0)) > KEY.read(range.get(1))) {
                throw invalid(field);
            }
            ranges.add(reader.apply(range));
        }
        return ranges;
    }

    private static TargetHeartbeat.ActiveRange activeRange(JsonNode range) {
        return new TargetHeartbeat.ActiveRange(
                KEY.readInt(range.get(0)), KEY.readInt(range.get(1)), TOKEN.read(range.get(2)));
    }

    private static TargetHeartbeat.ReleasedRange releasedRange(JsonNode range) {
        JsonNode handover = range.get(2);
        if (!handover.isTextual() || handover.textValue().length() > MAX_HANDOVER_LENGTH) {
            throw invalid("freed");
        }
        return new TargetHeartbeat.ReleasedRange(
                KEY.readInt(range.get(0)), KEY.readInt(range.get(1)), handover.textValue());
    }

    private static SiskindykeException invalid(String field) {
        return new SiskindykeException(
                ErrorCode.INVALID_REQUEST, "heartbeat: field " + field + " is missing or malformed");
    }

    /** Returns an acknowledgement as JSON; an empty object where it renews no grants. */
    static String write(GrantReply reply) {
        if (!reply.renews()) {
            return "{}";
        }
        StringBuilder json = new StringBuilder("{\"holds\":[");
        for (GrantedRange range : reply.ranges()) {
            json.append(range == reply.ranges().get(0) ? "[" : ",[");
            json.append(range.first())
                    .append(',')
                    .append(range.last())
                    .append(',')
                    .append(range.token());
            json.append(",\"")
                    .append(range.handover() == null ? "" : quoted(range.handover()))
                    .append("\"]");
        }
        return json.append("],\"hold_ms\":")
                .append(reply.grantMillis())
                .append('}')
                .toString();
    }

    private static String quoted(String text) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(text));
    }
}
