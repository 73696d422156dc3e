package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.siskindyke.standin.StoreStandin.Fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Three routers of a divided service while the store fails, in the ways that the users' platform fails. */
class StoreFaultsTest {
    private static final int SAMPLES = 16;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    /** Longer than a lease of these routers and its margin, 1.9 seconds. */
    private static final long OUTAGE_MILLIS = 2_600;

    private static final long LIMIT_MILLIS = 15_000;
    /** Time in which each router asks the store again after its watch was answered. */
    private static final long LOST_MILLIS = 1_200;
    /** A watch that was lost is noticed after its wait and a call's time. */
    private static final long SPREAD_MILLIS = 8_000;

    private static final String ROUTE = "{\"name\":\"%s\",\"prefix\":\"/%s/\",\"route_type\":\"safe\","
            + "\"timeout_ms\":5000,\"aim_ms\":1000,\"priority\":1,\"service\":\"keyed\",\"max_attempts\":2}";

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackPath path = new LoopbackPath(new PrintStream(events, true, StandardCharsets.UTF_8));

    @Example
    void noRequestFailsWhileTheStoreIsSilentForLongerThanALease() throws InterruptedException {
        servesThrough(Fault.SILENT);
    }

    @Example
    void noRequestFailsWhileTheStoreRefusesForLongerThanALease() throws InterruptedException {
        servesThrough(Fault.BUSY);
    }

    @Example
    void noRequestFailsWhileTheStoreIsSlow() throws InterruptedException {
        servesThrough(Fault.SLOW);
    }

    @Example
    void aLeavingServersKeysAreServedByTheOthersOnceLostAnswersEnd() throws InterruptedException {
        leavesDuring(Fault.ANSWER_LOST);
    }

    @Example
    void aLeavingServersKeysAreServedByTheOthersOnceLateWritesEnd() throws InterruptedException {
        leavesDuring(Fault.LATE_WRITE);
    }

    @Example
    void aLeavingServersKeysAreServedByTheOthersOnceASilentStoreReturns() throws InterruptedException {
        leavesDuring(Fault.SILENT);
    }

    /** Pattern: the answers of all watches were lost; for 27 seconds nobody learned who owned what was handed over. */
    @Example
    void changesReachAllRoutersSoonAfterTheAnswersOfTheirWatchesWereLost() throws InterruptedException {
        startThree();
        path.store().setFault(Fault.ANSWER_LOST);
        path.store().put("routers", "members/none", "{}");
        serveFor(LOST_MILLIS);
        path.store().setFault(Fault.NONE);
        long startNanos = System.nanoTime();
        path.instances().get(2).target().leave();
        awaitServing();
        int before = path.instances().get(2).target().ran().size();
        while (serveSamples() < SAMPLES
                || path.instances().get(2).target().ran().size() > before) {
            before = path.instances().get(2).target().ran().size();
        }
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(tookMillis < SPREAD_MILLIS, () -> "took " + tookMillis + " ms: " + events());
    }

    @Example
    void aRouterThatAloneLostTheStoreServesOnAndLearnsConfigurationFromTheOthers() throws InterruptedException {
        startThree();
        LoopbackPath.Instance cutOff = path.instances().get(2);
        path.store().setFault(cutOff.settings().table(), Fault.SILENT);
        path.configure(configuration(2, "k", "new"));
        awaitStatus(cutOff, "/new/0", OK);
        serveFor(OUTAGE_MILLIS);
    }

    @Example
    void aChangeWhoseHistoryIsGoneComesIntoForceAtEachRouter() throws InterruptedException {
        startThree();
        path.store().setFault(Fault.HISTORY_GONE);
        path.configure(configuration(2, "new"));
        for (LoopbackPath.Instance instance : path.instances()) {
            awaitStatus(instance, "/new/0", OK);
            awaitStatus(instance, "/k/0", NOT_FOUND);
        }
    }

    private void servesThrough(Fault fault) throws InterruptedException {
        startThree();
        path.store().setFault(fault);
        serveFor(OUTAGE_MILLIS);
    }

    private void leavesDuring(Fault fault) throws InterruptedException {
        startThree();
        LoopbackPath.Instance leaving = path.instances().get(2);
        path.store().setFault(fault);
        leaving.target().leave();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OUTAGE_MILLIS);
        while (System.nanoTime() < endNanos) {
            serveSamples();
        }
        path.store().setFault(Fault.NONE);
        awaitServing();
        int before = leaving.target().ran().size();
        assertEquals(SAMPLES, serveSamples(), this::events);
        assertEquals(before, leaving.target().ran().size(), "a server that left has run a request");
    }

    private void startThree() throws InterruptedException {
        path.configure(configuration(1, "k"));
        for (String domain : List.of("a", "b", "c")) {
            path.start("keyed", true, domain);
        }
        awaitServing();
    }

    private void awaitServing() throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS);
        while (serveSamples() < SAMPLES) {
            assertTrue(System.nanoTime() < endNanos, () -> "some keys are still not served: " + events());
        }
    }

    private void serveFor(long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < endNanos) {
            assertEquals(SAMPLES, serveSamples(), this::events);
        }
    }

    /** Sends one request for each of some keys, to the routers by turns; returns how many were answered. */
    private int serveSamples() throws InterruptedException {
        int answered = 0;
        for (int i = 0; i < SAMPLES; i++) {
            LoopbackPath.Instance at = path.instances().get(i % path.instances().size());
            answered += path.request(at, "/k/0", i * (LoopbackPath.KEYS / SAMPLES)) == OK ? 1 : 0;
        }
        return answered;
    }

    private void awaitStatus(LoopbackPath.Instance at, String target, int status) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS);
        while (path.request(at, target, 0) != status) {
            assertTrue(System.nanoTime() < endNanos, () -> "no status " + status + ": " + events());
        }
    }

    private String events() {
        return events.toString(StandardCharsets.UTF_8);
    }

    private static String configuration(int version, String... routes) {
        List<String> paths =
                List.of(routes).stream().map(r -> ROUTE.formatted(r, r)).toList();
        return "{\"version\":\"r" + version + "\",\"services\":[{\"name\":\"keyed\",\"max_connections\":20,"
                + "\"sharded\":true}],\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
                + String.join(",", paths) + "]}]}";
    }
}
