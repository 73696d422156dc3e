package org.siskindyke.platform;

import java.net.InetSocketAddress;

import org.siskindyke.kernel.route.CallerLimits;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.InstanceRouter;
import org.siskindyke.runtime.InstanceSettings;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.traffic.ConnectionLimits;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.HttpListener;
import org.siskindyke.runtime.traffic.PooledHttpClient;
import org.siskindyke.runtime.traffic.TrafficLoop;

/** Starts a router with the adapters for the users' platform: table, header fields, configuration and heartbeats. */
final class PlatformRouter {
    private static final long STORE_LOG_INTERVAL_MILLIS = 5_000;

    private PlatformRouter() {}

    /** Starts a router; returns before its member has joined. */
    static InstanceRouter start(InstanceSettings settings, TrafficLoop traffic, EventLog log) {
        MonotonicClock clock = SystemMonotonicClock.INSTANCE;
        StoreClient store = new StoreClient(new PooledHttpClient(traffic, clock, settings.table()), log);
        PlatformTable table = new PlatformTable(store, traffic, settings.instance());
        InstanceRouter router =
                new InstanceRouter(settings, traffic, table, new PlatformDialect(), ConfigurationReader::read, log);
        router.start();
        EvacuationRows evacuations = new EvacuationRows(
                store,
                traffic,
                settings.deployment().topology().regionByDomain().keySet(),
                router::evacuations,
                router::offerEvacuations,
                log);
        new ConfigurationWatcher(
                        store,
                        traffic,
                        router::offerConfiguration,
                        router::isReader,
                        router::watchesConfiguration,
                        evacuations,
                        log)
                .start();
        traffic.scheduleWithFixedDelay(store::logCalls, STORE_LOG_INTERVAL_MILLIS);
        InstanceSettings.Addresses addresses = settings.addresses();
        listen(addresses.heartbeats(), new HeartbeatEndpoint(router, log), traffic, clock);
        listen(addresses.readiness(), router.readiness(), traffic, clock);
        listen(addresses.metrics(), router.administration(), traffic, clock);
        return router;
    }

    private static void listen(
            InetSocketAddress address, HttpExchange.Handler handler, TrafficLoop traffic, MonotonicClock clock) {
        new HttpListener(
                        traffic,
                        clock,
                        () -> CallerLimits.DEFAULT,
                        handler,
                        HttpExchange.Rejections.EMPTY,
                        ConnectionLimits.INTERNAL)
                .listen(address);
    }
}
