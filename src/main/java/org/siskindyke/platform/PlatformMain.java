package org.siskindyke.platform;

import java.util.List;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.InstanceRouter;
import org.siskindyke.runtime.InstanceSettings;
import org.siskindyke.runtime.traffic.TrafficLoop;

/** Runs the router beside one backend server on the users' platform; a class of its own so that it starts quickly. */
public final class PlatformMain {
    /** Names channels in logs only; looking for a hardware address would slow each start. */
    private static final String MACHINE_ID = "00:00:00:00:00:00:00:01";

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_BAD_USAGE = 2;

    private PlatformMain() {}

    /**
     * Runs until the platform stops the process.
     *
     * @param arguments {@code self-check} to try the whole path on loopback and end; else none
     */
    public static void main(String[] arguments) throws InterruptedException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        System.setProperty("io.netty.machineId", MACHINE_ID);
        if (List.of(arguments).contains("self-check")) {
            System.exit(SelfCheck.run(System.out) ? 0 : EXIT_FAILED);
        }
        InstanceSettings settings;
        try {
            settings = SettingsReader.read(System.getenv());
        } catch (SiskindykeException e) {
            System.err.println(e.code() + ": " + e.getMessage());
            System.exit(EXIT_BAD_USAGE);
            return;
        }
        EventLog log = new EventLog(settings.instance().value(), System.out);
        InstanceRouter router = PlatformRouter.start(settings, new TrafficLoop(), log);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(router, log), "shutdown"));
        Thread.currentThread().join();
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
