package org.siskindyke.platform;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.InstanceRouter;
import org.siskindyke.runtime.InstanceSettings;
import org.siskindyke.runtime.traffic.TrafficLoop;

/** Runs the router beside one backend server on the users' platform, from its settings to its stop. */
final class PlatformProgram {
    /** Part of Netty's channel ids, which only logs show; looking up a hardware address would slow each start. */
    private static final String MACHINE_ID = "00:00:00:00:00:00:00:01";

    /**
     * Interval of polling the settings file; at most half of the time within which the platform requires a
     * configuration to be applied, which is 2 to 2.5 seconds, depending on the deployment.
     */
    private static final long SETTINGS_POLL_MILLIS = 1_000;

    private static final String OUT_OF_MEMORY = "event=out-of-memory while the settings file was checked";

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_BAD_USAGE = 2;

    private PlatformProgram() {}

    /**
     * Runs the router until the platform stops the process.
     *
     * @param arguments {@code self-check} to run {@link SelfCheck} and exit; otherwise empty
     */
    static void run(String[] arguments) throws InterruptedException {
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
        watchSettingsFile(router, log);
    }

    /**
     * Reloads the settings whenever the modification time of their file changes. It polls, because the platform may or
     * may not send a signal after a change.
     */
    private static void watchSettingsFile(InstanceRouter router, EventLog log) throws InterruptedException {
        long lastModifiedMillis = SettingsReader.modifiedMillis(System.getenv());
        while (true) {
            TimeUnit.MILLISECONDS.sleep(SETTINGS_POLL_MILLIS);
            try {
                long modifiedMillis = SettingsReader.modifiedMillis(System.getenv());
                if (modifiedMillis != lastModifiedMillis) {
                    lastModifiedMillis = modifiedMillis;
                    reload(router, log);
                }
            } catch (OutOfMemoryError e) {
                // The end of the main thread would end the process. The text is preallocated.
                System.err.println(OUT_OF_MEMORY);
            }
        }
    }

    private static void reload(InstanceRouter router, EventLog log) {
        try {
            router.reload(SettingsReader.read(System.getenv()));
        } catch (SiskindykeException e) {
            log.event("settings-unreadable", "code", e.code(), "cause", e.getMessage());
        }
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
