package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import net.jqwik.api.Example;
import org.siskindyke.standin.HeartbeatBackendStandin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Stops a router while the backend server beside it leaves, starts again or goes on. */
class PlannedStopTest {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long TIMEOUT_MILLIS = 15_000;
    /** Longer than a stopping router accepts calls, and shorter than it waits for those that run. */
    private static final String LONG_CALL = "/k/1900";
    /** The same from a caller of the stopping router. */
    private static final String LONG_OWN_CALL = "/p/1900";

    /** Leaves slots of the backend server to others. */
    private static final long LONG_CALL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private static final long REQUEST_INTERVAL_MILLIS = 50;
    /** A request that was refused since its router stops, after it had waited for an owner for 100 ms or more. */
    private static final Pattern WITHDRAWN =
            Pattern.compile("request-failed.*\"cause\":\"LEAVING\".*\"tookMillis\":[1-9][0-9]{2}");

    /** Time after the beginning of a stop in which requests are still taken. */
    private static final long BEFORE_REFUSAL_MILLIS = 2_000;
    /** A call whose response is lost after requests are refused. */
    private static final String CRASHING_CALL = "/k/crash/1500";
    /** The crashing request, answered after one attempt. */
    private static final Pattern GIVEN_UP =
            Pattern.compile("request-failed\",\"request\":\"crashing\".*\"status\":502.*\"attempts\":1,");

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));
    private LoopbackCluster.Instance caller;
    private LoopbackCluster.Instance owner;
    private int longCalls;

    private void start() throws InterruptedException {
        cluster.configure(SelfCheck.CONFIGURATION);
        caller = cluster.start("plain", false, "a");
        owner = cluster.start("keyed", true, "b");
        awaitStatus(OK);
    }

    /** Starts to stop the owner's router, and waits until it accepts no more calls while one still runs. */
    private CompletableFuture<Void> stopAmidCalls() throws InterruptedException {
        start();
        CompletableFuture<Void> stopped = cluster.stopRouter(owner);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        long nextLongCallNanos = System.nanoTime();
        while (cluster.request(caller, "/k/0", 0) == OK) {
            assertTrue(System.nanoTime() < endNanos, this::events);
            if (System.nanoTime() >= nextLongCallNanos) {
                cluster.sendAs("long" + ++longCalls, caller, LONG_CALL);
                cluster.send(owner, LONG_OWN_CALL);
                nextLongCallNanos += LONG_CALL_INTERVAL_NANOS;
            }
        }
        return stopped;
    }

    private void awaitStatus(int expected) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (cluster.request(caller, "/k/0", 0) != expected) {
            assertTrue(System.nanoTime() < endNanos, this::events);
        }
    }

    private void assertRunsNothingUntil(CompletableFuture<Void> stopped) throws InterruptedException {
        int before = owner.backend().executedRequestIds().size();
        while (!stopped.isDone()) {
            cluster.request(caller, "/k/0", 0);
        }
        assertEquals(before, owner.backend().executedRequestIds().size(), this::events);
    }

    /** Guards against calls that begin late in a stop and are cut off, since the leaving server opened them again. */
    @Example
    void aRouterThatStopsAcceptsNoCallsAgainWhenItsBackendServerLeaves() throws InterruptedException {
        CompletableFuture<Void> stopped = stopAmidCalls();
        owner.backend().leave();
        assertRunsNothingUntil(stopped);
    }

    /** Guards against the same when the backend server starts again under its name. */
    @Example
    void aRouterThatStopsAcceptsNoCallsAgainWhenItsBackendServerStartsAgain() throws InterruptedException {
        CompletableFuture<Void> stopped = stopAmidCalls();
        owner.backend().stop();
        HeartbeatBackendStandin next = cluster.startAgain(owner.settings(), true, 2);
        assertRunsNothingUntil(stopped);
        assertEquals(List.of(), next.executedRequestIds(), this::events);
    }

    /** Guards against requests that begin to run late in a stop and are cut when the platform ends the router. */
    @Example
    void requestsThatNoBackendServerHasBegunAreRefusedHalfwayThroughTheStop() throws InterruptedException {
        start();
        owner.backend().stop();
        CompletableFuture<Void> stopped = cluster.stopRouter(caller);
        while (!stopped.isDone()) {
            cluster.send(caller, "/k/0");
            TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
        }
        assertTrue(WITHDRAWN.matcher(events()).find(), this::events);
    }

    /** Guards against a request that is sent again late in a stop, and gets no answer as the router ends. */
    @Example
    void aRequestWhoseResponseIsLostLateInTheStopIsNotSentAgain() throws Exception {
        start();
        owner.backend().crashOnRequest(TIMEOUT_MILLIS);
        CompletableFuture<Void> stopped = cluster.stopRouter(caller);
        TimeUnit.MILLISECONDS.sleep(BEFORE_REFUSAL_MILLIS);
        cluster.sendAs("crashing", caller, CRASHING_CALL);
        stopped.join();
        assertTrue(GIVEN_UP.matcher(events()).find(), this::events);
    }

    /** Guards against runs that fail since the router beside their backend server stops and takes none of its calls. */
    @Example
    void aRouterThatStopsServesTheCallsThatARunningRequestMakes() throws Exception {
        CompletableFuture<Void> stopped = stopAmidCalls();
        assertEquals(
                OK,
                cluster.sendAs("long" + longCalls + ".1", owner, "/p/0").get().statusCode(),
                this::events);
        stopped.join();
    }

    /** Guards against callers that find no connection and are not told when to come back. */
    @Example
    void aRouterThatStopsRefusesOtherRequestsOnNewConnections() throws Exception {
        CompletableFuture<Void> stopped = stopAmidCalls();
        HttpResponse<String> response = cluster.respond(owner.settings(), "/p/0");
        while (response.statusCode() == OK) {
            response = cluster.respond(owner.settings(), "/p/0");
        }
        assertEquals(UNAVAILABLE, response.statusCode(), this::events);
        assertTrue(response.headers().firstValue("Retry-After").isPresent());
        stopped.join();
    }

    private String events() {
        return events.toString(StandardCharsets.UTF_8);
    }
}
