package org.siskindyke.platform;

/**
 * Entry point of the router beside one backend server on the users' platform. It is separate from the command-line tool
 * so that it starts quickly.
 */
public final class PlatformMain {
    private PlatformMain() {}

    /**
     * Runs the router until the platform stops the process.
     *
     * @param arguments {@code self-check} to run {@link SelfCheck} and exit; otherwise empty
     */
    public static void main(String[] arguments) throws InterruptedException {
        // Comes before any other class is loaded, since SIGHUP ends the process until it is ignored.
        ignoreHangUpSignal();
        PlatformProgram.run(arguments);
    }

    /**
     * Ignores SIGHUP, which the platform may send after a change of the settings and which by default ends the JVM. The
     * JDK has no public API for signals.
     */
    private static void ignoreHangUpSignal() {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), sun.misc.SignalHandler.SIG_IGN);
    }
}
