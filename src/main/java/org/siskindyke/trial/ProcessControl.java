package org.siskindyke.trial;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;

/** Ends, freezes and thaws a process that this program has started, by its id. */
public final class ProcessControl {
    private final Process process;
    private final long exitTimeoutSeconds;

    /**
     * Creates the control of a process.
     *
     * @param process the process
     * @param exitTimeoutSeconds how long to wait for its end
     */
    public ProcessControl(Process process, long exitTimeoutSeconds) {
        this.process = process;
        this.exitTimeoutSeconds = exitTimeoutSeconds;
    }

    /** Tells whether the process runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Ends the process without warning. */
    public void kill() {
        process.destroyForcibly();
    }

    /** Asks the process to end; unlike {@link Process#destroy} it leaves its output open for its last lines. */
    public void terminate() {
        signal("-TERM");
    }

    /** Waits for the process to end; tells whether it did in time. */
    public boolean awaitExit() {
        try {
            return process.waitFor(exitTimeoutSeconds, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Freezes the process. */
    public void freeze() {
        signal("-STOP");
    }

    /** Lets a frozen process go on. */
    public void thaw() {
        signal("-CONT");
    }

    /** Tells the process that its settings have changed. */
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
