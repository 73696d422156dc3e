package org.siskindyke.standin;

import java.util.ArrayList;
import java.util.List;

/** Entries as a faulty program may write them: nested too deep, out of range, incomplete, of another type. */
public final class OddEntries {
    private static final String DEEP = "[".repeat(20_000) + "]".repeat(20_000);
    private static final String DIGITS = "9".repeat(400);
    private static final String HEARTBEAT =
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%s\",\"zone\":\"odd\",\"slots\":%s,"
                    + "\"state\":\"ready\",\"cold_left_ms\":0,\"born\":%s,\"seq_num\":%s,\"holds\":%s,\"freed\":[]}";

    private OddEntries() {}

    /** Returns values of rows, none of which a router writes. */
    public static List<String> rows() {
        return List.of(
                "",
                "{}",
                "null",
                DEEP,
                "{\"id\":\"odd:1\"",
                "{\"service\":\"keyed\",\"member\":\"odd:1\",\"slices\":[[0," + DIGITS + ",0],null,[-1,1e400,0]]}",
                "{\"id\":\"odd:1\",\"instance\":\"odd\",\"failureDomain\":\"a\",\"state\":\"ALIVE\",\"epoch\":1,"
                        + "\"grantor\":\"table:0\",\"targets\":[],\"address\":{\"host\":\"odd\",\"peerPort\":99999}}");
    }

    /** Returns heartbeats for a service, each of which names no backend server to use. */
    public static List<String> heartbeats(String service) {
        List<String> odd = new ArrayList<>(List.of("", "null", DEEP));
        for (String number : List.of("1e999999999", "18446744073709551621", DIGITS, "-1", "\"1\"", DEEP)) {
            odd.add(HEARTBEAT.formatted(service, 9, 4, number, 900_000, "[]"));
            odd.add(HEARTBEAT.formatted(service, 9, 4, 1, number, "[]"));
            odd.add(HEARTBEAT.formatted(service, 9, number, 1, 900_000, "[]"));
        }
        odd.add(HEARTBEAT.formatted(service, 99_999, 4, 1, 900_000, "[]"));
        odd.add(HEARTBEAT.formatted(service, 9, 4, 1, 900_000, "[[0,70000,1]]"));
        odd.add(HEARTBEAT.formatted("unknown", 9, 4, 1, 900_000, "[]"));
        return odd;
    }
}
