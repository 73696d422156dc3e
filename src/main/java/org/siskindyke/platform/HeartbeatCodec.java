package org.siskindyke.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.grant.GrantReply;
import org.siskindyke.kernel.grant.GrantReply.GrantedRange;
import org.siskindyke.kernel.grant.TargetHeartbeat;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;

/** Parses heartbeats of backend servers and writes the acknowledgements. */
final class HeartbeatCodec {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final int RANGE_FIELDS = 3;

    private HeartbeatCodec() {}

    /**
     * A heartbeat and the address in it.
     *
     * @param heartbeat the state that the backend server reports
     * @param address the address on which the backend server accepts requests
     */
    record ReceivedHeartbeat(TargetHeartbeat heartbeat, InetSocketAddress address) {}

    /**
     * Parses a heartbeat. A list of ranges that is missing, a string or a number counts as empty; tokens and handover
     * data are not checked, and fields that the router does not use, such as the version, are ignored.
     *
     * @param id the backend server's id, from the request path
     * @param body the JSON body
     * @throws SiskindykeException with code {@code INVALID_REQUEST} for any other field that is missing or malformed,
     *     or {@code INVALID_NAME} for a service or an id that is no valid name
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
                (int) number(root, "slots"),
                state.equals("draining"),
                number(root, "cold_left_ms"),
                number(root, "born"),
                number(root, "seq_num"),
                ranges(
                        root,
                        "holds",
                        r -> new TargetHeartbeat.ActiveRange(
                                key(r, 0), key(r, 1), r.get(2).asLong())),
                ranges(
                        root,
                        "freed",
                        r -> new TargetHeartbeat.ReleasedRange(
                                key(r, 0), key(r, 1), r.get(2).asText())));
        return new ReceivedHeartbeat(heartbeat, address);
    }

    private static String text(JsonNode root, String field) {
        JsonNode node = root.path(field);
        if (!node.isTextual()) {
            throw invalid(field);
        }
        return node.textValue();
    }

    private static long number(JsonNode root, String field) {
        JsonNode node = root.path(field);
        if (!node.isNumber() || node.doubleValue() < 0) {
            throw invalid(field);
        }
        return node.longValue();
    }

    private static <T> List<T> ranges(JsonNode root, String field, Function<JsonNode, T> reader) {
        List<T> ranges = new ArrayList<>();
        for (JsonNode range : root.path(field)) {
            if (!range.isArray() || range.size() < RANGE_FIELDS) {
                throw invalid(field);
            }
            ranges.add(reader.apply(range));
        }
        return ranges;
    }

    private static int key(JsonNode range, int position) {
        JsonNode key = range.get(position);
        if (!key.isIntegralNumber()) {
            throw invalid("holds or freed");
        }
        return key.intValue();
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
                    .append(range.handover() == null ? "" : range.handover())
                    .append("\"]");
        }
        return json.append("],\"hold_ms\":")
                .append(reply.grantMillis())
                .append('}')
                .toString();
    }
}
