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
    /** As in the settings of the cluster. */
    private static final long DRAIN_MILLIS = 2_000;

    private final ByteArrayOutputStream events = new ByteArrayOutputStream();
    private final LoopbackCluster cluster = new LoopbackCluster(new PrintStream(events, true, StandardCharsets.UTF_8));

    private LoopbackCluster.Instance startOne() throws InterruptedException {
        cluster.configure(ServerAnnouncementsTest.CONFIGURATION);
        LoopbackCluster.Instance instance = cluster.start("plain", false, "a");
        awaitStatus(instance.settings(), "/safe/0", status -> status == OK);
        return instance;
    }

    private void awaitStatus(InstanceSettings router, String path, IntPredicate expected) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!expected.test(cluster.request(router, path, 0))) {
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
        cluster.startAgain(instance.settings(), false, 2);
        awaitStatus(instance.settings(), "/safe/0", status -> status == OK);
    }

    /** Guards against a new incarnation of a divided service that is refused once the drain time of the last ends. */
    @Example
    void aServerThatStartsAgainWhileItDrainsIsUsedAfterTheDrainTime() throws InterruptedException {
        cluster.configure(SelfCheck.CONFIGURATION);
        LoopbackCluster.Instance caller = cluster.start("plain", false, "a");
        LoopbackCluster.Instance draining = cluster.start("keyed", true, "b");
        awaitStatus(caller.settings(), "/k/0", status -> status == OK);
        draining.backend().leave();
        awaitEvent("departure-recorded");
        draining.backend().stop();
        cluster.startAgain(draining.settings(), true, 2);
        awaitStatus(caller.settings(), "/k/0", status -> status == OK);
        long drainedNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MILLIS);
        while (System.nanoTime() < drainedNanos) {
            cluster.request(caller, "/k/0", 0);
        }
        awaitStatus(caller.settings(), "/k/0", status -> status == OK);
    }

    private void awaitEvent(String name) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!events().contains(name)) {
            assertTrue(System.nanoTime() < endNanos, this::events);
            Thread.onSpinWait();
        }
    }

    private String events() {
        return events.toString(StandardCharsets.UTF_8);
    }
}
