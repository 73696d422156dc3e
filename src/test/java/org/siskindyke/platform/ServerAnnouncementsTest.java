package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import net.jqwik.api.Example;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.standin.StoreStandin.Fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Sends requests through six routers to backend servers that name a limit or say that they leave. */
class ServerAnnouncementsTest {
    private static final int OK = 200;
    private static final double LIMIT_PER_SECOND = 5;
    /** Requests that a server may get in the window, by the rules of the users' platform. */
    private static final int ALLOWED = (int) (1.5 * LIMIT_PER_SECOND * 4) + 5;

    private static final long WINDOW_MILLIS = 4_000;
    private static final long STABLE_MILLIS = 3_000;
    /** Time within which a leaving server stops getting requests, as in the settings of the cluster. */
    private static final long DRAIN_MILLIS = 2_000;

    private static final long TIMEOUT_MILLIS = 15_000;
    private static final int CALLERS = 24;
    private static final Executor NEXT_REQUEST = CompletableFuture.delayedExecutor(10, TimeUnit.MILLISECONDS);
    private static final List<String> DOMAINS = List.of("a", "b", "c", "a", "b", "c");
    /** Sends the paths under {@code /safe/} to the undivided service {@code plain}. */
    static final String CONFIGURATION = "{\"version\":\"r1\",\"services\":[{\"name\":\"plain\","
            + "\"max_connections\":20}],\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
            + "{\"name\":\"safe\",\"prefix\":\"/safe/\",\"route_type\":\"safe\",\"timeout_ms\":5000,"
            + "\"aim_ms\":1000,\"priority\":1,\"service\":\"plain\",\"max_attempts\":2}]}]}";

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));
    private final AtomicBoolean done = new AtomicBoolean();

    /** Guards against a server in need that gets more requests than the limit it named. */
    @Example
    void serversThatNameALimitGetNoMoreThanTheRulesAllow() throws InterruptedException {
        startSix();
        cluster.instances()
                .forEach(i -> i.backend().announce(new Header("Server-Limit", Double.toString(LIMIT_PER_SECOND))));
        startCallers();
        awaitMillis(STABLE_MILLIS);
        List<Integer> before = arrivals();
        awaitMillis(WINDOW_MILLIS);
        List<Integer> after = arrivals();
        done.set(true);
        for (int i = 0; i < before.size(); i++) {
            int arrived = after.get(i) - before.get(i);
            assertTrue(arrived <= ALLOWED, () -> arrived + " requests, allowed " + ALLOWED);
        }
    }

    /** Guards against requests to a server whose answers say that it leaves, though its heartbeats do not. */
    @Example
    void aServerWhoseAnswersSayThatItLeavesGetsNoRequestAfterTheDrainTime() throws InterruptedException {
        startSix();
        LoopbackCluster.Instance leaving = cluster.instances().get(2);
        leaving.backend().announce(new Header("Server-Leaving", "1"));
        cluster.store().setFault(Fault.SILENT);
        startCallers();
        awaitMillis(DRAIN_MILLIS);
        int before = leaving.backend().executedRequestIds().size();
        awaitMillis(DRAIN_MILLIS);
        done.set(true);
        assertEquals(before, leaving.backend().executedRequestIds().size(), this::events);
    }

    private void startSix() throws InterruptedException {
        cluster.configure(CONFIGURATION);
        for (String domain : DOMAINS) {
            cluster.start("plain", false, domain);
        }
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        for (LoopbackCluster.Instance instance : cluster.instances()) {
            while (cluster.request(instance, "/safe/0", 0) != OK) {
                assertTrue(System.nanoTime() < endNanos, this::events);
            }
        }
    }

    /** Starts callers that each send a request of 20 ms soon after the previous one has ended. */
    private void startCallers() {
        for (int i = 0; i < CALLERS; i++) {
            sendNext(cluster.instances().get(i % cluster.instances().size()));
        }
    }

    private void sendNext(LoopbackCluster.Instance instance) {
        if (!done.get()) {
            CompletableFuture<HttpResponse<String>> sent = cluster.send(instance, "/safe/20");
            sent.whenCompleteAsync((response, failure) -> sendNext(instance), NEXT_REQUEST);
        }
    }

    /** Waits while one more caller sends requests. */
    private void awaitMillis(long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < endNanos) {
            cluster.request(cluster.instances().get(0), "/safe/20", 0);
        }
    }

    private List<Integer> arrivals() {
        return cluster.instances().stream()
                .map(instance -> instance.backend().executedRequestIds().size())
                .toList();
    }

    private String events() {
        return events.toString(StandardCharsets.UTF_8);
    }
}
