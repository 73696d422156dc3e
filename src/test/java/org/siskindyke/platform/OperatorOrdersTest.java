package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.Region;
import org.siskindyke.kernel.place.Topology;
import org.siskindyke.runtime.DeploymentSettings;
import org.siskindyke.standin.StoreStandin.Fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Sends requests through routers while an operator evacuates a failure domain, or where a route names regions. */
class OperatorOrdersTest {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long TIMEOUT_MILLIS = 20_000;
    /** Time within which an evacuation must be in force here. */
    private static final long EVACUATION_MILLIS = 3_000;

    private static final int COLD_PER_SECOND = 4;
    private static final double COLD_EXCESS = 1.5;
    private static final double COLD_SLACK = 8;
    /** Time in which the router hears from the server that it is cold; several heartbeats. */
    private static final long COLD_KNOWN_MILLIS = 1_000;

    private static final int CALLERS = 24;
    private static final Executor NEXT_REQUEST = CompletableFuture.delayedExecutor(10, TimeUnit.MILLISECONDS);
    private static final int ROUNDS = 40;
    private static final int KEY_STEP = 1_637;
    private static final String ORDER = "evacuate/a";
    private static final String PATH = "{\"name\":\"%s\",\"prefix\":\"/%s/\",\"route_type\":\"safe\","
            + "\"timeout_ms\":5000,\"aim_ms\":1000,\"priority\":1,\"service\":\"%s\",\"max_attempts\":2%s}";
    private static final String CONFIGURATION = "{\"version\":\"r1\",\"services\":[{\"name\":\"keyed\","
            + "\"max_connections\":20,\"sharded\":true},{\"name\":\"plain\",\"max_connections\":20,\"cold_per_s\":"
            + COLD_PER_SECOND + "}],"
            + "\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
            + String.format(PATH, "k", "k", "keyed", "") + ","
            + String.format(PATH, "p", "p", "plain", "") + ","
            + String.format(PATH, "south", "south", "plain", ",\"allowed_regions\":[\"south\"]") + ","
            + String.format(PATH, "east", "east", "plain", ",\"allowed_regions\":[\"east\"]") + "]}]}";

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));

    private LoopbackCluster.Instance start(String service, String domain) throws InterruptedException {
        Topology topology = new Topology(
                Map.of(FailureDomain.of("a"), Region.of("north"), FailureDomain.of("b"), Region.of("south")));
        cluster.setDeployment(
                new DeploymentSettings(topology, false, COLD_EXCESS, COLD_SLACK, Duration.ofMillis(EVACUATION_MILLIS)));
        cluster.configure(CONFIGURATION);
        return cluster.start(service, service.equals("keyed"), domain);
    }

    /** Guards against requests that reach an evacuated failure domain, and against one that is never used again. */
    @Example
    void anEvacuatedFailureDomainGetsNoRequestsUntilTheOrderIsRemoved() throws InterruptedException {
        List<LoopbackCluster.Instance> inA = List.of(start("plain", "a"), start("keyed", "a"));
        List<LoopbackCluster.Instance> inB = List.of(start("plain", "b"), start("keyed", "b"));
        await(() -> serves(inA.get(0), "/p/0") && serves(inA.get(0), "/k/0") && serves(inB.get(0), "/k/0"));
        await(() -> runs(inA.get(0), "/p/0") && runs(inA.get(1), "/k/0"));
        cluster.store().put("op", ORDER, "{}");
        awaitEvents("evacuations-in-force", 4);
        long boundNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EVACUATION_MILLIS);
        await(() -> serves(inA.get(0), "/p/0") && System.nanoTime() > boundNanos);
        List<Integer> before = executed(inA);
        assertServedByAll(inA);
        cluster.store().setFault(Fault.SILENT);
        assertServedByAll(inB);
        cluster.store().setFault(Fault.NONE);
        assertEquals(before, executed(inA), this::events);
        cluster.store().remove("op", ORDER);
        await(() -> runs(inA.get(0), "/p/0"));
    }

    /** Guards against a router that starts in the middle of an evacuation and uses its server until it learns of it. */
    @Example
    void aServerThatStartsInAnEvacuatedFailureDomainGetsNoRequests() throws InterruptedException {
        LoopbackCluster.Instance inB = start("plain", "b");
        await(() -> serves(inB, "/p/0"));
        cluster.store().put("op", ORDER, "{}");
        LoopbackCluster.Instance inA = start("plain", "a");
        await(() -> serves(inA, "/p/0") && events().contains("evacuation-begun"));
        for (int i = 0; i < ROUNDS; i++) {
            assertEquals(OK, cluster.request(inA, "/p/0", 0), this::events);
            assertEquals(OK, cluster.request(inB, "/p/0", 0), this::events);
        }
        assertEquals(List.of(0), executed(List.of(inA)), this::events);
    }

    /** Guards against an order or its removal that no router learns of, since the store has dropped its history. */
    @Example
    void ordersAndRemovalsThatWatchesDoNotHearAreObeyedAlthoughReadsAreStale() throws InterruptedException {
        LoopbackCluster.Instance inA = start("plain", "a");
        LoopbackCluster.Instance inB = start("plain", "b");
        await(() -> runs(inA, "/p/0") && serves(inB, "/p/0"));
        changeUnheard(() -> cluster.store().put("op", ORDER, "{}"));
        awaitEvents("evacuations-in-force", 2);
        await(() -> !runs(inA, "/p/0"));
        changeUnheard(() -> cluster.store().remove("op", ORDER));
        await(() -> runs(inA, "/p/0"));
    }

    /** Changes a row; watches do not hear of it, and reads that follow the loss of the history are stale. */
    private void changeUnheard(Runnable change) {
        cluster.store().setWatchesHearNothing(true);
        change.run();
        cluster.store().setStaleReads(TIMEOUT_MILLIS);
        cluster.store().dropHistory();
        cluster.store().setWatchesHearNothing(false);
    }

    /** Guards against requests that wait for a server although the operator has evacuated all failure domains. */
    @Example
    void requestsAreRefusedAtOnceWhereAllFailureDomainsAreEvacuated() throws Exception {
        LoopbackCluster.Instance plain = start("plain", "a");
        LoopbackCluster.Instance keyed = start("keyed", "a");
        await(() -> serves(plain, "/p/0") && serves(plain, "/k/0"));
        cluster.store().put("op", ORDER, "{}");
        awaitEvents("evacuations-in-force", 2);
        await(() -> !serves(plain, "/p/0") && !serves(plain, "/k/0"));
        List<Integer> before = executed(List.of(plain, keyed));
        for (String path : List.of("/p/0", "/k/0")) {
            HttpResponse<String> refused = cluster.respond(keyed.settings(), path);
            assertEquals(UNAVAILABLE, refused.statusCode(), this::events);
            assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        }
        assertEquals(before, executed(List.of(plain, keyed)), this::events);
        assertTrue(events().contains("EVACUATED"), this::events);
    }

    /** Guards against a request that reaches a server outside the regions that its route allows. */
    @Example
    void aRouteWithAllowedRegionsIsServedOnlyThere() throws Exception {
        LoopbackCluster.Instance north = start("plain", "a");
        LoopbackCluster.Instance south = start("plain", "b");
        await(() -> serves(north, "/south/0") && runs(north, "/p/0") && runs(south, "/p/0"));
        List<Integer> before = executed(List.of(north));
        for (int i = 0; i < ROUNDS; i++) {
            assertEquals(OK, cluster.request(north, "/south/0", 0), this::events);
        }
        assertEquals(before, executed(List.of(north)), this::events);
        assertEquals(UNAVAILABLE, cluster.respond(north.settings(), "/east/0").statusCode(), this::events);
        assertTrue(events().contains("REGION_NOT_ALLOWED"), this::events);
    }

    /** Guards against a server that crashes in its warm-up, since it gets requests at the rate of a warm one. */
    @Example
    void aServerThatTurnsColdInTheMiddleOfARunGetsOnlyWhatItTakes() throws InterruptedException {
        LoopbackCluster.Instance plain = start("plain", "a");
        await(() -> runs(plain, "/p/0"));
        plain.backend().beCold(TIMEOUT_MILLIS);
        long startNanos = System.nanoTime();
        AtomicBoolean done = new AtomicBoolean();
        for (int i = 0; i < CALLERS; i++) {
            sendUntil(done, plain);
        }
        await(() -> System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(COLD_KNOWN_MILLIS));
        long fromNanos = System.nanoTime();
        int before = executed(List.of(plain)).get(0);
        await(() -> System.nanoTime() - fromNanos > TimeUnit.MILLISECONDS.toNanos(EVACUATION_MILLIS));
        int ran = executed(List.of(plain)).get(0) - before;
        double seconds = (System.nanoTime() - fromNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        done.set(true);
        assertTrue(ran > 0, this::events);
        assertTrue(ran <= seconds * COLD_PER_SECOND * COLD_EXCESS + COLD_SLACK, () -> ran + " in " + seconds + " s");
    }

    private void sendUntil(AtomicBoolean done, LoopbackCluster.Instance router) {
        cluster.send(router, "/p/0")
                .whenCompleteAsync(
                        (response, failure) -> {
                            if (!done.get()) {
                                sendUntil(done, router);
                            }
                        },
                        NEXT_REQUEST);
    }

    private void assertServedByAll(List<LoopbackCluster.Instance> routers) throws InterruptedException {
        for (int i = 0; i < ROUNDS; i++) {
            for (LoopbackCluster.Instance router : routers) {
                assertEquals(OK, cluster.request(router, "/p/0", 0), this::events);
                assertEquals(OK, cluster.request(router, "/k/0", i * KEY_STEP), this::events);
            }
        }
    }

    private static List<Integer> executed(List<LoopbackCluster.Instance> instances) {
        return instances.stream()
                .map(i -> i.backend().executedRequestIds().size())
                .toList();
    }

    private boolean serves(LoopbackCluster.Instance router, String path) {
        try {
            return cluster.request(router, path, 0) == OK;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Sends requests for different keys to a router; returns whether the server beside it has run one. */
    private boolean runs(LoopbackCluster.Instance instance, String path) {
        int before = executed(List.of(instance)).get(0);
        try {
            for (int i = 0; i < ROUNDS; i++) {
                cluster.request(instance, path, i * KEY_STEP);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
        return executed(List.of(instance)).get(0) > before;
    }

    private void awaitEvents(String name, int count) {
        await(() -> events().lines().filter(line -> line.contains(name)).count() >= count);
    }

    private void await(BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNanos, this::events);
        }
    }

    private String events() {
        return events.toString(StandardCharsets.UTF_8);
    }
}
