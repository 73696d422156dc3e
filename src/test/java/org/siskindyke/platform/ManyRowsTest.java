package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertTrue;

class ManyRowsTest {
    private static final int OK = 200;
    private static final int ROWS = 2_500;
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final String CONFIGURATION =
            "{\"version\":\"r1\",\"services\":[{\"name\":\"keyed\",\"max_connections\":20,\"sharded\":true}],"
                    + "\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
                    + "{\"name\":\"k\",\"prefix\":\"/k/\",\"route_type\":\"safe\",\"timeout_ms\":2000,\"aim_ms\":500,"
                    + "\"priority\":1,\"service\":\"keyed\",\"max_attempts\":2}]}]}";

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));

    /** Guards against a cluster that serves nobody once earlier restarts have left 2,000 rows in the store. */
    @Example
    void routersServeThoughEarlierOnesHaveLeftThousandsOfRows() throws InterruptedException {
        for (int i = 0; i < ROWS; i++) {
            String member = "old" + i + ":1";
            String value = "{\"service\":\"keyed\",\"member\":\"" + member + "\",\"slices\":[]}";
            cluster.store().put("routers", "holdings/keyed/" + member, value);
        }
        cluster.configure(CONFIGURATION);
        LoopbackCluster.Instance instance = cluster.start("keyed", true, "a");
        cluster.start("keyed", true, "b");
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (cluster.request(instance, "/k/0", 0) != OK) {
            assertTrue(System.nanoTime() < endNanos, () -> events.toString(StandardCharsets.UTF_8));
        }
    }
}
