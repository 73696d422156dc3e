package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.siskindyke.runtime.InstanceSettings;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Changes the configuration of six routers while the store has the faults of the users' platform. */
class ConfigurationFaultsTest {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    /** How far reads are behind while they are stale, on the users' platform. */
    private static final long STALE_MILLIS = 3_000;

    private static final long TIMEOUT_MILLIS = 15_000;
    private static final List<String> DOMAINS = List.of("a", "b", "c", "a", "b", "c");
    private static final String ROUTE = "{\"name\":\"%s\",\"prefix\":\"/%s/\",\"route_type\":\"safe\","
            + "\"timeout_ms\":5000,\"aim_ms\":1000,\"priority\":1,\"service\":\"plain\",\"max_attempts\":2}";

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));

    /** Guards against a change that no router ever applies, since a stale read moved their watches past it. */
    @Example
    void aChangeThatWatchesDoNotHearIsInForceAlthoughTheNextReadsAreStale() throws InterruptedException {
        startSix();
        cluster.store().setWatchesHearNothing(true);
        cluster.configure(configuration(2, "new"));
        cluster.store().setStaleReads(STALE_MILLIS);
        cluster.store().dropHistory();
        cluster.store().setWatchesHearNothing(false);
        awaitOnlyNewRoute();
    }

    private void startSix() throws InterruptedException {
        cluster.configure(configuration(1, "old"));
        for (String domain : DOMAINS) {
            cluster.start("plain", false, domain);
        }
        for (LoopbackCluster.Instance instance : cluster.instances()) {
            awaitStatus(instance.settings(), "/old/0", OK);
        }
    }

    /** Waits until each router serves the new route and no longer the old one. */
    private void awaitOnlyNewRoute() throws InterruptedException {
        for (LoopbackCluster.Instance instance : cluster.instances()) {
            awaitStatus(instance.settings(), "/new/0", OK);
            awaitStatus(instance.settings(), "/old/0", NOT_FOUND);
        }
    }

    private void awaitStatus(InstanceSettings router, String target, int status) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (cluster.request(router, target, 0) != status) {
            assertTrue(System.nanoTime() < endNanos, () -> "no status " + status + ": " + events());
        }
    }

    private String events() {
        return events.toString(StandardCharsets.UTF_8);
    }

    private static String configuration(int version, String route) {
        return "{\"version\":\"r" + version + "\",\"services\":[{\"name\":\"plain\",\"max_connections\":20}],"
                + "\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
                + ROUTE.formatted(route, route) + "]}]}";
    }
}
