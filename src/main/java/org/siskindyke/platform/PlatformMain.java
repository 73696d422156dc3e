package org.siskindyke.platform;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.route.CallerLimits;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.InstanceRouter;
import org.siskindyke.runtime.InstanceSettings;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.traffic.HttpCaller;
import org.siskindyke.runtime.traffic.HttpListener;
import org.siskindyke.runtime.traffic.TrafficLoop;

/** Runs the router beside one backend server on the users' platform; a class of its own so that it starts quickly. */
public final class PlatformMain {
    private static final int EXIT_BAD_USAGE = 2;
    private static final long STORE_LOG_MILLIS = 5_000;

    private PlatformMain() {}

    /** Runs until the platform stops the process. */
    public static void main(String[] arguments) throws InterruptedException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        InstanceSettings settings;
        try {
            settings = SettingsReader.read(System.getenv());
        } catch (SiskindykeException e) {
            System.err.println(e.code() + ": " + e.getMessage());
            System.exit(EXIT_BAD_USAGE);
            return;
        }
        start(settings);
        Thread.currentThread().join();
    }

    private static void start(InstanceSettings settings) {
        EventLog log = new EventLog(settings.instance().value(), System.out);
        MonotonicClock clock = SystemMonotonicClock.INSTANCE;
        TrafficLoop traffic = new TrafficLoop();
        StoreClient store = new StoreClient(new HttpCaller(traffic, clock, settings.table()));
        InstanceRouter router = new InstanceRouter(
                settings, traffic, new PlatformTable(store), new PlatformDialect(), ConfigurationReader::read, log);
        router.start();
        new ConfigurationWatch(store, traffic, router::offerConfiguration, log).start();
        traffic.repeat(() -> store.logCalls(log), STORE_LOG_MILLIS);
        listen(settings, traffic, clock, router, log);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(router, log), "shutdown"));
    }

    private static void listen(
            InstanceSettings settings, TrafficLoop traffic, MonotonicClock clock, InstanceRouter router, EventLog log) {
        InstanceSettings.Addresses addresses = settings.addresses();
        new HttpListener(traffic, clock, () -> CallerLimits.DEFAULT, new HeartbeatEndpoint(router, log))
                .listen(addresses.heartbeats());
        new HttpListener(traffic, clock, () -> CallerLimits.DEFAULT, router.readiness()).listen(addresses.readiness());
    }

    private static void stop(InstanceRouter router, EventLog log) {
        try {
            router.stop();
        } catch (InterruptedException e) {
            log.event("stop-interrupted");
            Thread.currentThread().interrupt();
        }
    }
}
