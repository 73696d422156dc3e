package org.siskindyke.platform;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import org.siskindyke.kernel.grant.GrantReply;
import org.siskindyke.kernel.grant.TargetHeartbeat;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.InstanceRouter;
import org.siskindyke.runtime.InstanceSettings;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.traffic.TrafficLoop;
import org.siskindyke.standin.StoreStandin;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Sends a heartbeat to a router that has only just started. */
class FirstHeartbeatTest {
    private static final Duration HEARTBEAT = Duration.ofMillis(870);
    private static final long TIMEOUT_SECONDS = 15;
    private static final InstanceSettings.Bounds BOUNDS = new InstanceSettings.Bounds(
            Duration.ofSeconds(2),
            Duration.ofSeconds(6),
            Duration.ofSeconds(10),
            0.2,
            60,
            Duration.ofSeconds(10),
            Duration.ofSeconds(5));

    private final TrafficLoop traffic = new TrafficLoop();
    private final StoreStandin store = new StoreStandin(traffic, SystemMonotonicClock.INSTANCE);

    private InstanceRouter startRouter() {
        InetSocketAddress storeAddress = LoopbackCluster.freeAddress();
        store.listen(storeAddress);
        InetSocketAddress peers = LoopbackCluster.freeAddress();
        InstanceSettings settings = new InstanceSettings(
                InstanceName.of("keyed0"),
                FailureDomain.of("a"),
                ServiceName.of("keyed"),
                new InstanceSettings.Addresses(
                        LoopbackCluster.freeAddress(),
                        peers,
                        peers,
                        LoopbackCluster.freeAddress(),
                        LoopbackCluster.freeAddress(),
                        LoopbackCluster.freeAddress()),
                storeAddress,
                HEARTBEAT,
                BOUNDS);
        EventLog log = new EventLog("keyed0", new PrintStream(PrintStream.nullOutputStream()));
        return PlatformRouter.start(settings, traffic, log);
    }

    private CompletableFuture<GrantReply> send(InstanceRouter router, int sequence) {
        TargetHeartbeat heartbeat = new TargetHeartbeat(
                ServiceName.of("keyed"), TargetName.of("i-1"), 4, false, 0, 1, sequence, List.of(), List.of());
        CompletableFuture<GrantReply> reply = new CompletableFuture<>();
        router.onHeartbeat(heartbeat, LoopbackCluster.freeAddress(), reply::complete, reply::completeExceptionally);
        return reply;
    }

    private static GrantReply await(CompletableFuture<GrantReply> reply) throws Exception {
        return reply.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against slices that stay unserved for a heartbeat interval after each restart of a router. */
    @Example
    void aHeartbeatThatArrivesBeforeTheRouterHasJoinedWaitsForItsGrant() throws Exception {
        store.put("op", "config", SelfCheck.CONFIGURATION);
        InstanceRouter router = startRouter();
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        boolean granted = false;
        for (int sequence = 1; !granted; sequence++) {
            CompletableFuture<GrantReply> reply = send(router, sequence);
            // Outdated, so it is replied to at once, after any reply to the heartbeat before that does not wait.
            await(send(router, sequence));
            assertTrue(!reply.isDone() || reply.join().renews(), "replied to without a grant, at once");
            granted = await(reply).renews();
            assertTrue(System.nanoTime() < endNanos, "not granted");
        }
    }
}
