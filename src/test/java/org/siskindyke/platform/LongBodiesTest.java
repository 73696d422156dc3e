package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.siskindyke.runtime.InstanceSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LongBodiesTest {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int BODY_BYTES = 10_000_000;
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final String CONFIGURATION =
            "{\"version\":\"r1\",\"services\":[{\"name\":\"plain\",\"max_connections\":20}],"
                    + "\"limits\":{\"max_body_bytes\":67108864},"
                    + "\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
                    + "{\"name\":\"p\",\"prefix\":\"/p/\",\"route_type\":\"unsafe\",\"timeout_ms\":2000,\"aim_ms\":500,"
                    + "\"priority\":1,\"service\":\"plain\",\"max_attempts\":2}]}]}";

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));

    /**
     * Guards against one long body, within the configured limit, that ends the connection between two routers and then
     * each one on which it is sent again, with all other requests on them.
     */
    @Example
    void aBodyThatNoOtherRouterAcceptsIsRefusedAndEndsNoConnectionBetweenRouters() throws Exception {
        cluster.configure(CONFIGURATION);
        cluster.start("plain", false, "a");
        InstanceSettings other = cluster.startRouter("plain", "b");
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (cluster.request(other, "/p/0", 0) != OK) {
            assertTrue(System.nanoTime() < endNanos, this::events);
        }
        HttpRequest request = HttpRequest.newBuilder(URI.create(
                        "http://127.0.0.1:" + other.addresses().callers().getPort() + "/p/0"))
                .header("X-Siskindyke-Request-Id", "long")
                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[BODY_BYTES]))
                .build();
        HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(UNAVAILABLE, response.statusCode(), this::events);
        assertFalse(events().contains("peer-connection-failed"), this::events);
        assertEquals(OK, cluster.request(other, "/p/0", 0));
    }

    private String events() {
        return events.toString(StandardCharsets.UTF_8);
    }
}
