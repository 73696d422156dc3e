package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;
import org.siskindyke.RawHttpServer;
import org.siskindyke.runtime.InstanceSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs a router beside a backend server that accepts fewer connections than it has slots. */
class BusyConnectionsTest {
    private static final int UNAVAILABLE = 503;
    /** Longer than a heartbeat may be overdue before a server that refuses connections counts as lost. */
    private static final long OVERDUE_MILLIS = 200;

    private static final int APPLY_SECONDS = 15;
    private static final int WORK_MILLIS = 200;
    /** Larger than that of any heartbeat before. */
    private static final int FIRST_SEQUENCE = 1_000_000;

    private static final String CONFIGURATION =
            "{\"version\":\"r1\",\"services\":[{\"name\":\"plain\",\"max_connections\":1}],"
                    + "\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
                    + "{\"name\":\"p\",\"prefix\":\"/p/\",\"route_type\":\"safe\",\"timeout_ms\":2000,\"aim_ms\":500,"
                    + "\"priority\":1,\"service\":\"plain\",\"max_attempts\":2}]}]}";

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));
    private final CountDownLatch running = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);

    private List<String> runUntilTheEnd() {
        running.countDown();
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return List.of();
    }

    /** Guards against a busy backend server that counts as lost, since no connection to it was free. */
    @Example
    void aServerWhoseConnectionsAreAllInUseIsNotLost() throws Exception {
        try (RawHttpServer server = new RawHttpServer(() -> request -> runUntilTheEnd())) {
            cluster.configure(CONFIGURATION);
            InstanceSettings router = cluster.startRouter("plain", "a");
            CompletableFuture<Integer> first = CompletableFuture.supplyAsync(() -> requestUntilServed(router, server));
            running.await();
            cluster.sendHeartbeat(router, server.address(), Integer.MAX_VALUE);
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OVERDUE_MILLIS);
            while (System.nanoTime() < endNanos) {
                assertEquals(UNAVAILABLE, cluster.request(router, "/p/0", 0));
            }
            String text = events.toString(StandardCharsets.UTF_8);
            assertFalse(text.contains("connections refused"), text);
            ended.countDown();
            first.join();
        }
    }

    /** Guards against a number of connections that stays what it was when the backend server was first used. */
    @Example
    void aRaisedNumberOfConnectionsAppliesToAServerThatIsInUse() throws Exception {
        CyclicBarrier both = new CyclicBarrier(2);
        AtomicInteger together = new AtomicInteger();
        try (RawHttpServer server = new RawHttpServer(() -> request -> awaitOther(both, together))) {
            cluster.configure(CONFIGURATION);
            InstanceSettings router = cluster.startRouter("plain", "a");
            awaitEvent("configuration-in-force");
            requestUntilServed(router, server);
            assertEquals(0, together.get());
            cluster.configure(CONFIGURATION.replace("r1", "r2").replace(":1}],", ":2}],"));
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(APPLY_SECONDS);
            for (int sequence = FIRST_SEQUENCE; together.get() == 0; sequence++) {
                assertTrue(System.nanoTime() < endNanos, "the second connection is not used");
                cluster.sendHeartbeat(router, server.address(), sequence);
                CompletableFuture<Integer> first = CompletableFuture.supplyAsync(() -> request(router));
                request(router);
                first.join();
            }
        }
    }

    /** Waits a while for a request on another connection, and answers. */
    private static List<String> awaitOther(CyclicBarrier both, AtomicInteger together) {
        try {
            both.await(WORK_MILLIS, TimeUnit.MILLISECONDS);
            together.incrementAndGet();
        } catch (BrokenBarrierException | TimeoutException e) {
            both.reset();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return List.of("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n");
    }

    private void awaitEvent(String event) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(APPLY_SECONDS);
        while (!events.toString(StandardCharsets.UTF_8).contains(event)) {
            assertTrue(System.nanoTime() < endNanos, () -> events.toString(StandardCharsets.UTF_8));
            Thread.onSpinWait();
        }
    }

    private int request(InstanceSettings router) {
        try {
            return cluster.request(router, "/p/0", 0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private int requestUntilServed(InstanceSettings router, RawHttpServer server) {
        try {
            int status = UNAVAILABLE;
            for (int sequence = 1; status == UNAVAILABLE; sequence++) {
                cluster.sendHeartbeat(router, server.address(), sequence);
                status = cluster.request(router, "/p/0", 0);
            }
            return status;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }
}
