package org.siskindyke.soak;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.siskindyke.trial.ProcessControl;

/** A Java process that a soak starts, talks to, signals by its id and ends. */
final class SoakProcess {
    private static final List<String> JVM_OPTIONS = List.of(
            "-Xmx96m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-Djdk.httpclient.allowRestrictedHeaders=host");
    private static final long EXIT_TIMEOUT_SECONDS = 20;
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private final Process process;
    private final ProcessControl control;
    private final PrintStream in;

    /**
     * Starts a process.
     *
     * @param main the main class
     * @param arguments its arguments
     * @param environment more environment variables
     * @param log takes standard error
     * @param onLine takes each line of standard output
     */
    SoakProcess(
            String main, List<String> arguments, Map<String, String> environment, File log, Consumer<String> onLine) {
        List<String> command = new ArrayList<>();
        command.add(new File(System.getProperty("java.home"), "bin/java").getPath());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), main));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().putAll(environment);
        try {
            process = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        STARTED.add(process);
        control = new ProcessControl(process, EXIT_TIMEOUT_SECONDS);
        in = new PrintStream(process.getOutputStream(), true, StandardCharsets.UTF_8);
        Thread reader = new Thread(() -> read(onLine), "output of " + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Consumer<String> onLine) {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                onLine.accept(line);
            }
        } catch (IOException e) {
            // The process has been ended; what it wrote until then was taken.
        }
    }

    /** Writes a line to the process's standard input. */
    void writeLine(String line) {
        in.println(line);
    }

    boolean isAlive() {
        return control.isAlive();
    }

    /** Ends the process without warning, and waits until it has. */
    void kill() {
        control.kill();
        control.awaitExit();
    }

    void terminate() {
        control.terminate();
    }

    /** Waits for the process to end; tells whether it did. */
    boolean awaitExit() {
        return control.awaitExit();
    }

    void hangUp() {
        control.hangUp();
    }

    void freeze() {
        control.freeze();
    }

    void thaw() {
        control.thaw();
    }
}
