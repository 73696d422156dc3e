package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.siskindyke.RawHttpServer;
import org.siskindyke.runtime.InstanceSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs routers beside a backend server that writes each response once more, late. */
class LateCopiesTest {
    private static final int OK = 200;
    private static final int SERVER_ERROR = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int REQUESTS = 40;
    private static final long HEARTBEAT_MILLIS = 50;
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final String CONFIGURATION =
            "{\"version\":\"r1\",\"services\":[{\"name\":\"plain\",\"max_connections\":20}],"
                    + "\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
                    + "{\"name\":\"p\",\"prefix\":\"/p/\",\"route_type\":\"safe\",\"timeout_ms\":2000,\"aim_ms\":500,"
                    + "\"priority\":1,\"service\":\"plain\",\"max_attempts\":2}]}]}";

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));
    private final ScheduledExecutorService heartbeats = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger copies = new AtomicInteger();

    /** Answers the runs of a request with the given statuses in turn, and writes each response once more, late. */
    private final class Stutter implements RawHttpServer.Script {
        private final List<Integer> statuses;
        private String previous = "";

        private Stutter(List<Integer> statuses) {
            this.statuses = statuses;
        }

        @Override
        public List<String> respond(RawHttpServer.Request request) {
            String id = request.id();
            int run = runs.merge(id, 1, Integer::sum);
            String copy = previous;
            copies.addAndGet(copy.isEmpty() ? 0 : 1);
            previous = "HTTP/1.1 " + statuses.get((run - 1) % statuses.size()) + " Status\r\nX-Siskindyke-Request-Id: "
                    + id + "\r\nX-Siskindyke-Response-Signature: s" + run + "\r\nContent-Length: 2\r\n\r\nok";
            return List.of(copy, previous);
        }
    }

    /**
     * Guards against a success for a request that its backend server has answered with a failure: the request came
     * again and got a late copy of the response of its first run.
     */
    @Example
    void aSuccessOfAnEarlierRunIsNotTakenForTheFailureOfALaterOne() throws Exception {
        checkAnswersOfRuns(List.of(OK, SERVER_ERROR));
    }

    /** Guards against a copy that breaks off in its status line and lends its status to the response behind it. */
    @Example
    void aCopyThatBreaksOffDoesNotLendItsStatusToTheNextResponse() throws Exception {
        try (RawHttpServer server = new RawHttpServer(BrokenOffCopies::new)) {
            InstanceSettings beside = startBeside(server);
            for (int i = 0; i < REQUESTS; i++) {
                int status = cluster.respondAs("once" + i, beside, "/p/0").statusCode();
                assertTrue(status == BAD_GATEWAY || runs.get("once" + i) == status, "request " + i + ": " + status);
            }
            assertTrue(copies.get() > 0, "no copy has broken off");
        }
    }

    /** Answers the first request on a connection with 200, and later ones with 500 behind a part of another 200. */
    private final class BrokenOffCopies implements RawHttpServer.Script {
        private boolean answered;

        @Override
        public List<String> respond(RawHttpServer.Request request) {
            int status = answered ? SERVER_ERROR : OK;
            runs.put(request.id(), status);
            copies.addAndGet(answered ? 1 : 0);
            String part = answered ? "HTTP/1.1 200 O" : "";
            answered = true;
            return List.of(
                    part,
                    "HTTP/1.1 " + status + " Status\r\nX-Siskindyke-Request-Id: " + request.id()
                            + "\r\nX-Siskindyke-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok");
        }
    }

    /** Guards against the reverse: the late copy of a failure in place of a success. */
    @Example
    void aFailureOfAnEarlierRunIsNotTakenForTheSuccessOfALaterOne() throws Exception {
        checkAnswersOfRuns(List.of(SERVER_ERROR, OK));
    }

    /** Starts a router beside a server, and the heartbeats of the server. */
    private InstanceSettings startBeside(RawHttpServer server) throws InterruptedException, IOException {
        cluster.configure(CONFIGURATION);
        InstanceSettings beside = cluster.startRouter("plain", "a");
        int[] sequence = new int[1];
        heartbeats.scheduleWithFixedDelay(
                () -> {
                    sequence[0]++;
                    cluster.trySendHeartbeat(beside, server.address(), sequence[0]);
                },
                0,
                HEARTBEAT_MILLIS,
                TimeUnit.MILLISECONDS);
        await(beside);
        return beside;
    }

    @AfterTry
    void stopHeartbeats() {
        heartbeats.shutdownNow();
    }

    private void checkAnswersOfRuns(List<Integer> statuses) throws Exception {
        try (RawHttpServer server = new RawHttpServer(() -> new Stutter(statuses))) {
            InstanceSettings beside = startBeside(server);
            InstanceSettings other = cluster.startRouter("plain", "b");
            await(other);
            for (int i = 0; i < REQUESTS; i++) {
                for (int run = 0; run < statuses.size(); run++) {
                    HttpResponse<String> response = cluster.respondAs("again" + i, run == 0 ? beside : other, "/p/0");
                    assertEquals(statuses.get(run), response.statusCode(), "run " + run + " of request " + i);
                    assertEquals(
                            "s" + (run + 1),
                            response.headers()
                                    .firstValue("X-Siskindyke-Response-Signature")
                                    .orElseThrow());
                }
            }
            assertTrue(copies.get() > 0, "no response was written once more");
        }
    }

    private void await(InstanceSettings router) throws InterruptedException, IOException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (cluster.request(router, "/p/0", 0) == 503) {
            assertTrue(System.nanoTime() < endNanos, () -> events.toString(StandardCharsets.UTF_8));
        }
    }
}
