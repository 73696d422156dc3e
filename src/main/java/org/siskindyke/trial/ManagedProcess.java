package org.siskindyke.trial;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

/** A process of this program that a trial starts, signals by its id and ends. */
final class ManagedProcess {
    private static final long EXIT_TIMEOUT_SECONDS = 40;

    /** Compiles cheaply, since a trial starts many processes for a short time on one machine. */
    private static final String JVM_OPTIONS = "-XX:TieredStopAtLevel=1";

    private final List<String> command;
    private final File log;
    private ProcessControl control;

    /**
     * Prepares a process.
     *
     * @param binary the program's executable file
     * @param arguments command and flags
     * @param log receives standard error
     */
    ManagedProcess(String binary, List<String> arguments, File log) {
        this.command = new ArrayList<>();
        command.add(binary);
        command.addAll(arguments);
        this.log = log;
    }

    /** Starts the process and returns its first line of output, which tells where it listens. */
    String start() {
        try {
            ProcessBuilder builder = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.appendTo(log));
            builder.environment().put("JAVA_TOOL_OPTIONS", JVM_OPTIONS);
            Process process = builder.start();
            control = new ProcessControl(process, EXIT_TIMEOUT_SECONDS);
            BufferedReader out =
                    new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
            String line = out.readLine();
            if (line == null) {
                throw new SiskindykeException(ErrorCode.INTERNAL, "process ended at once, see " + log);
            }
            return line;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    boolean isAlive() {
        return control != null && control.isAlive();
    }

    /** Ends the process without warning. */
    void kill() {
        control.kill();
    }

    /** Asks the process to end. */
    void terminate() {
        control.terminate();
    }

    /** Waits for the process to end; returns whether it did in time. */
    boolean awaitExit() {
        return control.awaitExit();
    }

    /** Freezes the process. */
    void freeze() {
        control.freeze();
    }

    /** Lets a frozen process go on. */
    void thaw() {
        control.thaw();
    }
}
