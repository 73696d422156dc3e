package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;

import net.jqwik.api.Example;
import org.siskindyke.runtime.InstanceSettings;
import org.siskindyke.standin.StoreStandin.Fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Lets the backend server beside a router leave, while the store works and while it does not. */
class DepartureTest {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long TIMEOUT_MILLIS = 15_000;

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));

    private LoopbackCluster.Instance startOne() throws InterruptedException {
        cluster.configure(ServerAnnouncementsTest.CONFIGURATION);
        LoopbackCluster.Instance instance = cluster.start("plain", false, "a");
        awaitStatus(instance.settings(), status -> status == OK);
        return instance;
    }

    private void awaitStatus(InstanceSettings router, IntPredicate expected) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!expected.test(cluster.request(router, "/safe/0", 0))) {
            assertTrue(System.nanoTime() < endNanos, this::events);
        }
    }

    private static String nameOf(LoopbackCluster.Instance instance) {
        return "i-" + instance.settings().instance();
    }

    /** Guards against an acknowledgement that no process knows of after a restart, as the store did not have it. */
    @Example
    void aDepartureIsAcknowledgedOnlyOnceTheStoreHasIt() throws InterruptedException {
        LoopbackCluster.Instance instance = startOne();
        instance.backend().stop();
        cluster.store().setFault(Fault.SILENT);
        assertEquals(UNAVAILABLE, cluster.deregister(instance.settings(), nameOf(instance)), this::events);
        assertEquals(UNAVAILABLE, cluster.request(instance, "/safe/0", 0), this::events);
        cluster.store().setFault(Fault.NONE);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (cluster.deregister(instance.settings(), nameOf(instance)) != OK) {
            assertTrue(System.nanoTime() < endNanos, this::events);
        }
    }

    /** Guards against a server that gets no requests because an earlier run of it has left. */
    @Example
    void aServerThatStartsAgainUnderTheNameOfOneThatHasLeftIsUsed() throws InterruptedException {
        LoopbackCluster.Instance instance = startOne();
        instance.backend().stop();
        assertEquals(OK, cluster.deregister(instance.settings(), nameOf(instance)), this::events);
        cluster.sendHeartbeat(instance.settings(), LoopbackCluster.freeAddress(), 1_000_000);
        assertEquals(UNAVAILABLE, cluster.request(instance, "/safe/0", 0), this::events);
        cluster.startAgain(instance.settings(), 2);
        awaitStatus(instance.settings(), status -> status == OK);
    }

    private String events() {
        return events.toString(StandardCharsets.UTF_8);
    }
}
