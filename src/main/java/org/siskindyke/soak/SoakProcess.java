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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.siskindyke.trial.ProcessControl;

/** A Java process of a soak, controlled through its standard input and by signals to its process id. */
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
    private final CountDownLatch firstLine = new CountDownLatch(1);

    /**
     * Starts a process.
     *
     * @param main the main class
     * @param arguments its arguments
     * @param environment environment variables in addition to those of this process
     * @param log file to which standard error is appended
     * @param onLine receives each line of standard output, on a thread of its own
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
                firstLine.countDown();
                onLine.accept(line);
            }
        } catch (IOException e) {
            // The process has ended; the lines that it wrote before have been passed on.
        }
    }

    /** Writes a line to the process's standard input. */
    void writeLine(String line) {
        in.println(line);
    }

    boolean isAlive() {
        return control.isAlive();
    }

    /** Kills the process and waits for its exit. */
    void kill() {
        control.kill();
        control.awaitExit();
    }

    void terminate() {
        control.terminate();
    }

    /** Waits for the process to exit; returns false if it did not within the time limit. */
    boolean awaitExit() {
        return control.awaitExit();
    }

    /** Sends SIGHUP once the process has written a line: the JVM ends at one that comes before its main class runs. */
    void hangUp() {
        try {
            if (firstLine.await(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                control.hangUp();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void freeze() {
        control.freeze();
    }

    void thaw() {
        control.thaw();
    }
}
