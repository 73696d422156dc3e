package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.siskindyke.kernel.place.Topology;
import org.siskindyke.runtime.DeploymentSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Sends more requests than a backend server can run in time through routers with ranked admission. */
class RankedAdmissionPathTest {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long TIMEOUT_MILLIS = 15_000;
    /** With 4 slots a server runs 40 of these in the second of their objective. */
    private static final String TO_DIVIDED = "/k/100";
    /** As above, not idempotent. */
    private static final String TO_UNDIVIDED = "/p/100";

    private static final int REQUESTS = 200;

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));

    RankedAdmissionPathTest() {
        cluster.setDeployment(
                new DeploymentSettings(Topology.UNKNOWN, true, 1, 0, DeploymentSettings.DEFAULT.evacuation()));
    }

    /** Sends all requests at once, each with an id of its own, and returns the ids of those that were refused. */
    private List<String> sendAll(LoopbackCluster.Instance caller, String path, List<String> ids) {
        List<CompletableFuture<HttpResponse<String>>> sent =
                ids.stream().map(id -> cluster.sendAs(id, caller, path)).toList();
        List<String> refused = new ArrayList<>();
        for (int i = 0; i < sent.size(); i++) {
            HttpResponse<String> response = sent.get(i).join();
            if (response.statusCode() == UNAVAILABLE) {
                assertTrue(response.headers().firstValue("Retry-After").isPresent(), this::events);
                refused.add(ids.get(i));
            }
        }
        return refused;
    }

    private void sendCrowd(String path, LoopbackCluster.Instance caller, LoopbackCluster.Instance server)
            throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (cluster.request(caller, path, 0) != OK) {
            assertTrue(System.nanoTime() < endNanos, this::events);
        }
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            ids.add("crowd" + i);
        }
        List<String> refused = sendAll(caller, path, ids);
        assertTrue(!refused.isEmpty() && refused.size() < REQUESTS, () -> refused.size() + " refused");
        assertNoneRan(server, refused);
        assertNoneRan(server, sendAll(caller, path, refused));
    }

    /** Guards against a refused request that has run, and against one that runs twice when its caller returns. */
    @Example
    void aRefusedRequestToADividedServiceHasNotRunAndItsReturnRunsOnce() throws InterruptedException {
        cluster.configure(SelfCheck.CONFIGURATION);
        LoopbackCluster.Instance caller = cluster.start("plain", false, "a");
        sendCrowd(TO_DIVIDED, caller, cluster.start("keyed", true, "b"));
    }

    /** Guards against the same where the router refuses without sending, since it knows the target to be full. */
    @Example
    void aRefusedRequestToAnUndividedServiceHasNotRunAndItsReturnRunsOnce() throws InterruptedException {
        cluster.configure(SelfCheck.CONFIGURATION);
        LoopbackCluster.Instance server = cluster.start("plain", false, "a");
        sendCrowd(TO_UNDIVIDED, cluster.start("keyed", true, "b"), server);
    }

    /** Requires that the server has run none of the refused requests, and no request of the crowd twice. */
    private void assertNoneRan(LoopbackCluster.Instance server, List<String> refused) {
        List<String> runs = server.backend().executedRequestIds().stream()
                .filter(id -> id.startsWith("crowd"))
                .toList();
        Set<String> ids = new HashSet<>(runs);
        assertEquals(runs.size(), ids.size(), this::events);
        assertTrue(refused.stream().noneMatch(ids::contains), this::events);
    }

    private String events() {
        return events.toString(StandardCharsets.UTF_8);
    }
}
