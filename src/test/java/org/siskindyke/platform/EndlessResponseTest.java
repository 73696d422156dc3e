package org.siskindyke.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.siskindyke.runtime.EndlessServer;
import org.siskindyke.runtime.InstanceSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs routers whose backend servers send responses without end, beside one that responds as it should. */
class EndlessResponseTest {
    private static final int OK = 200;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final Set<Integer> NO_ANSWER = Set.of(BAD_GATEWAY, UNAVAILABLE, GATEWAY_TIMEOUT);
    private static final long HEARTBEAT_MILLIS = 50;
    private static final long TIMEOUT_MILLIS = 20_000;
    /** The limit of a body in chunks of one byte, each with five bytes of framing, and socket buffers. */
    private static final long MAX_SENT_BYTES_PER_REQUEST = 32L * 1024 * 1024;

    private static final String ROUTE = "{\"name\":\"%s\",\"prefix\":\"/%s/\",\"route_type\":\"%s\","
            + "\"timeout_ms\":10000,\"aim_ms\":1000,\"priority\":1,\"service\":\"plain\",\"max_attempts\":2}";
    private static final String CONFIGURATION =
            "{\"version\":\"r1\",\"services\":[{\"name\":\"plain\",\"max_connections\":20}],"
                    + "\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
                    + ROUTE.formatted("safe", "safe", "safe") + "," + ROUTE.formatted("once", "once", "unsafe")
                    + "]}]}";

    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(PrintStream.nullOutputStream()));
    private final List<InstanceSettings> routers = new ArrayList<>();
    private final List<EndlessServer> servers = new ArrayList<>();
    private final ScheduledExecutorService heartbeats = Executors.newSingleThreadScheduledExecutor();
    private int sequence;

    /** Guards against responses without end that fill the heap or keep their slots. */
    @Example
    void responsesWithoutEndAreCutAndTheirSlotsAreFreeAgain() throws InterruptedException, IOException {
        startEndless();
        for (String path : List.of("/once/a", "/safe/a")) {
            for (InstanceSettings router : routers) {
                awaitLost(router, path);
            }
        }
        for (EndlessServer server : servers) {
            await(() -> server.openResponses() == 0);
            assertTrue(server.sentBytes() <= server.requests() * MAX_SENT_BYTES_PER_REQUEST);
        }
        for (InstanceSettings router : routers) {
            await(() -> cluster.metrics(router).contains("siskindyke_slots_used 0.0"));
        }
        close();
    }

    /** Guards against servers that get each new request although their responses have no end. */
    @Example
    void aServerWhoseResponsesHaveNoEndIsAvoidedWhileAnotherResponds() throws InterruptedException, IOException {
        startEndless();
        LoopbackCluster.Instance sound = cluster.start("plain", false, "a");
        await(() -> cluster.request(sound, "/safe/a", 0) == OK);
        for (int i = 0; i < 20; i++) {
            assertNotEquals(0, cluster.request(sound, "/safe/" + i + "/0", 0));
        }
        int before = requests();
        for (int i = 20; i < 60; i++) {
            assertEquals(OK, cluster.request(sound, "/safe/" + i + "/0", 0));
        }
        assertTrue(requests() - before <= servers.size(), () -> requests() - before + " requests to endless servers");
        close();
    }

    private void startEndless() throws InterruptedException {
        cluster.configure(CONFIGURATION);
        for (EndlessServer.Kind kind : EndlessServer.Kind.values()) {
            servers.add(new EndlessServer(kind));
            routers.add(cluster.startRouter("plain", "a"));
        }
        heartbeats.scheduleWithFixedDelay(this::sendHeartbeats, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        for (InstanceSettings router : routers) {
            awaitLost(router, "/safe/a");
        }
    }

    /**
     * Sends a request until one has reached an endless server, which ends at the limit or, on a slow machine, at the
     * deadline before it; until then requests may be refused as not run.
     */
    private void awaitLost(InstanceSettings router, String path) throws InterruptedException {
        await(() -> {
            int status = cluster.request(router, path, 0);
            assertTrue(NO_ANSWER.contains(status), () -> "status " + status);
            return status != UNAVAILABLE;
        });
    }

    private void sendHeartbeats() {
        sequence++;
        for (int i = 0; i < routers.size(); i++) {
            InetSocketAddress address = servers.get(i).address();
            try {
                cluster.sendHeartbeat(routers.get(i), address, sequence);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private int requests() {
        return servers.stream().mapToInt(EndlessServer::requests).sum();
    }

    private interface Condition {
        boolean holds() throws InterruptedException;
    }

    private void await(Condition condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() < endNanos, "condition does not hold in time");
        }
    }

    private void close() throws IOException {
        heartbeats.shutdownNow();
        for (EndlessServer server : servers) {
            server.close();
        }
    }
}
