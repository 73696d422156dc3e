package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;
import org.siskindyke.RawHttpServer;
import org.siskindyke.runtime.InstanceSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A backend server runs two requests of one id at a time, which have come through two routers. */
class RunsOfOneIdTest {
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final long HEARTBEAT_MILLIS = 50;
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final String CONFIGURATION =
            "{\"version\":\"r1\",\"services\":[{\"name\":\"plain\",\"max_connections\":20}],"
                    + "\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
                    + "{\"name\":\"p\",\"prefix\":\"/p/\",\"route_type\":\"safe\",\"timeout_ms\":2000,\"aim_ms\":500,"
                    + "\"priority\":1,\"service\":\"plain\",\"max_attempts\":1}]}]}";

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));
    private final Map<Integer, CountDownLatch> runs = new ConcurrentHashMap<>();
    private final AtomicInteger started = new AtomicInteger();

    /** Runs each request named "twice" until the test ends that run, and fails the requests that they make. */
    private String respond(String id) {
        if (id.equals("twice")) {
            CountDownLatch ended = runs.get(started.getAndIncrement());
            awaitQuietly(ended);
        }
        return "HTTP/1.1 " + (id.startsWith("twice.") ? SERVER_ERROR : OK) + " Status\r\nX-Siskindyke-Request-Id: " + id
                + "\r\nX-Siskindyke-Response-Signature: s\r\nContent-Length: 0\r\n\r\n";
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against requests of a running request that count as not nested, since another run of its id has ended. */
    @Example
    void requestsOfARunAreNestedThoughAnotherRunOfItsIdHasEnded() throws Exception {
        ScheduledExecutorService heartbeats = Executors.newSingleThreadScheduledExecutor();
        try (RawHttpServer server = RawHttpServer.ofTexts(() -> this::respond)) {
            runs.put(0, new CountDownLatch(1));
            runs.put(1, new CountDownLatch(1));
            cluster.configure(CONFIGURATION);
            InstanceSettings beside = cluster.startRouter("plain", "a");
            InstanceSettings other = cluster.startRouter("plain", "b");
            AtomicInteger sequence = new AtomicInteger();
            heartbeats.scheduleWithFixedDelay(
                    () -> cluster.trySendHeartbeat(beside, server.address(), sequence.incrementAndGet()),
                    0,
                    HEARTBEAT_MILLIS,
                    TimeUnit.MILLISECONDS);
            await(() -> cluster.request(beside, "/p/0", 0) == OK);
            await(() -> cluster.request(other, "/p/0", 0) == OK);

            CompletableFuture<Integer> first = runTwice(beside);
            await(() -> started.get() == 1);
            CompletableFuture<Integer> second = runTwice(other);
            await(() -> started.get() == 2);
            assertNested("twice.0", beside);

            runs.get(0).countDown();
            assertEquals(OK, first.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            assertNested("twice.1", beside);
            runs.get(1).countDown();
            assertEquals(OK, second.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        } finally {
            heartbeats.shutdownNow();
        }
    }

    private CompletableFuture<Integer> runTwice(InstanceSettings router) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return cluster.respondAs("twice", router, "/p/0").statusCode();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private void assertNested(String id, InstanceSettings router) throws Exception {
        assertEquals(SERVER_ERROR, cluster.respondAs(id, router, "/p/0").statusCode());
        String failure = "\"event\":\"request-failed\",\"request\":\"" + id + "\"";
        await(() -> events().contains(failure));
        String line = events().lines()
                .filter(logged -> logged.contains(failure))
                .findFirst()
                .orElseThrow();
        assertTrue(line.contains("\"nested\":true"), line);
    }

    private String events() {
        return events.toString(StandardCharsets.UTF_8);
    }

    /** A condition that may be interrupted. */
    private interface Condition {
        boolean holds() throws InterruptedException;
    }

    private void await(Condition condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() < endNanos, this::events);
        }
    }
}
