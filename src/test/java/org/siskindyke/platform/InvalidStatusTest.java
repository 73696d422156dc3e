package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;
import org.siskindyke.RawHttpServer;
import org.siskindyke.runtime.InstanceSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against numbers that are no HTTP status and reach callers as one: a server in trouble answered 000. */
class InvalidStatusTest {
    private static final List<String> INVALID = List.of("000", "099", "600", "999");
    private static final int OK = 200;
    private static final int BAD_GATEWAY = 502;
    private static final long HEARTBEAT_MILLIS = 100;
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final String ROUTE = "{\"name\":\"%s\",\"prefix\":\"/%s/\",\"route_type\":\"%s\","
            + "\"timeout_ms\":2000,\"aim_ms\":500,\"priority\":1,\"service\":\"plain\",\"max_attempts\":2}";
    private static final String CONFIGURATION =
            "{\"version\":\"r1\",\"services\":[{\"name\":\"plain\",\"max_connections\":20}],"
                    + "\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
                    + ROUTE.formatted("safe", "safe", "safe") + "," + ROUTE.formatted("once", "once", "unsafe")
                    + "]}]}";

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));
    private final ConcurrentLinkedQueue<String> runs = new ConcurrentLinkedQueue<>();

    /** Answers with the number that the id of the request begins with; the rest of the id says with which fields. */
    private String respond(String id) {
        runs.add(id);
        String status = INVALID.stream().filter(id::startsWith).findFirst().orElse(Integer.toString(OK));
        String notRun = id.contains("not-run") ? "X-Siskindyke-Not-Executed: 1\r\n" : "";
        String named = id.contains("unnamed") ? "" : "X-Siskindyke-Request-Id: " + id + "\r\n";
        return "HTTP/1.1 " + status + " Status\r\n" + named + notRun
                + "X-Siskindyke-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok";
    }

    @Example
    void aResponseWithoutAStatusIsA502OfTheRouterAndItsRequestMayHaveRun() throws Exception {
        ScheduledExecutorService heartbeats = Executors.newSingleThreadScheduledExecutor();
        try (RawHttpServer server = RawHttpServer.ofTexts(() -> this::respond)) {
            cluster.configure(CONFIGURATION);
            InstanceSettings router = cluster.startRouter("plain", "a");
            AtomicInteger sequence = new AtomicInteger();
            heartbeats.scheduleWithFixedDelay(
                    () -> cluster.trySendHeartbeat(router, server.address(), sequence.incrementAndGet()),
                    0,
                    HEARTBEAT_MILLIS,
                    TimeUnit.MILLISECONDS);
            awaitOk(router);
            for (String status : INVALID) {
                for (String kind : List.of("plain", "not-run", "unnamed")) {
                    String id = status + kind;
                    HttpResponse<String> response = cluster.respondAs(id, router, "/once/0");
                    assertEquals(BAD_GATEWAY, response.statusCode(), id);
                    assertFalse(response.body().contains("ok"), id);
                    assertEquals(1, runs.stream().filter(id::equals).count(), id);
                }
                assertEquals(
                        BAD_GATEWAY,
                        cluster.respondAs(status + "safe", router, "/safe/0").statusCode(),
                        status);
            }
            awaitOk(router);
        } finally {
            heartbeats.shutdownNow();
        }
    }

    private void awaitOk(InstanceSettings router) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (cluster.request(router, "/safe/ok", 0) != OK) {
            assertTrue(System.nanoTime() < endNanos, () -> events.toString(StandardCharsets.UTF_8));
        }
    }
}
