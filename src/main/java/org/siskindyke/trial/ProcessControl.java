package org.siskindyke.trial;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;

/** Kills, stops, freezes and thaws a process that this program has started, by signals to its process id. */
public final class ProcessControl {
    private final Process process;
    private final long exitTimeoutSeconds;

    /**
     * Creates the control of a process.
     *
     * @param process the process to control
     * @param exitTimeoutSeconds time limit of {@link #awaitExit}, in seconds
     */
    public ProcessControl(Process process, long exitTimeoutSeconds) {
        this.process = process;
        this.exitTimeoutSeconds = exitTimeoutSeconds;
    }

    /** Returns whether the process is running. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Kills the process (SIGKILL) without waiting for its exit. */
    public void kill() {
        process.destroyForcibly();
    }

    /** Requests a graceful stop (SIGTERM); unlike {@link Process#destroy}, keeps the output open for its last lines. */
    public void terminate() {
        signal("-TERM");
    }

    /** Waits for the process to exit; returns false if the time limit passed or the thread was interrupted. */
    public boolean awaitExit() {
        try {
            return process.waitFor(exitTimeoutSeconds, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Freezes the process (SIGSTOP). */
    public void freeze() {
        signal("-STOP");
    }

    /** Thaws a frozen process (SIGCONT). */
    public void thaw() {
        signal("-CONT");
    }

    /** Sends SIGHUP, on which a router reloads its settings. */
    public void hangUp() {
        signal("-HUP");
    }

    private void signal(String name) {
        try {
            new ProcessBuilder("kill", name, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
