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

/** A process of this program that a trial starts and controls by signals to its process id. */
final class ManagedProcess {
    private static final long EXIT_TIMEOUT_SECONDS = 40;

    /** Limits the JIT to its first tier, since a trial runs many short-lived processes on one machine. */
    private static final String JVM_OPTIONS = "-XX:TieredStopAtLevel=1";

    private final List<String> command;
    private final File log;
    private ProcessControl control;

    /**
     * Prepares a process.
     *
     * @param binary the program's executable file
     * @param arguments command and flags
     * @param log file to which standard error is appended
     */
    ManagedProcess(String binary, List<String> arguments, File log) {
        this.command = new ArrayList<>();
        command.add(binary);
        command.addAll(arguments);
        this.log = log;
    }

    /** Starts the process and returns its first line of output, which contains the ports on which it listens. */
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
                throw new SiskindykeException(
                        ErrorCode.INTERNAL, "process exited without printing its ports, see " + log);
            }
            return line;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    boolean isAlive() {
        return control != null && control.isAlive();
    }

    /** Kills the process (SIGKILL). */
    void kill() {
        control.kill();
    }

    /** Requests a graceful stop (SIGTERM). */
    void terminate() {
        control.terminate();
    }

    /** Waits for the process to exit; returns false if it did not within the time limit. */
    boolean awaitExit() {
        return control.awaitExit();
    }

    /** Freezes the process (SIGSTOP). */
    void freeze() {
        control.freeze();
    }

    /** Thaws a frozen process (SIGCONT). */
    void thaw() {
        control.thaw();
    }
}
