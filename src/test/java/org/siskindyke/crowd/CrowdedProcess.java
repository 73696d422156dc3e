package org.siskindyke.crowd;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.siskindyke.trial.ProcessControl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A process of a router with little memory, and what must hold whatever callers send to it. */
public final class CrowdedProcess implements AutoCloseable {
    /** The memory of the smallest host, in kilobytes. */
    private static final long HOST_KILOBYTES = 330_000;

    private static final long DEPLOYED_HEAP_KILOBYTES = 96 * 1_024;
    private static final long HEAP_KILOBYTES = 32 * 1_024;
    /**
     * The process has a third of the heap that it has on its host, and so of the direct memory. It may use as much
     * less than the memory of that host.
     */
    private static final long MAX_KILOBYTES = HOST_KILOBYTES - 2 * (DEPLOYED_HEAP_KILOBYTES - HEAP_KILOBYTES);
    /** Descriptors of the smallest host without those that are reserved for files. */
    private static final long MAX_DESCRIPTORS = 3_900;
    /** Descriptors above those before a crowd that may be open once it has left: connections to the backend server. */
    private static final long MAX_EXTRA_DESCRIPTORS = 40;
    /** Connections to one port that are accepted, 3,072 at most, and that wait for it, 1,024. */
    private static final long MAX_CONNECTIONS = 4_096;
    /** Generous, since it is no check of performance. */
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(40);

    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
    private static final long POLL_MILLIS = 50;
    private static final long EXIT_TIMEOUT_SECONDS = 10;
    private static final int OK = 200;

    private final HttpClient client = HttpClient.newHttpClient();
    private final ScheduledExecutorService sampling = Executors.newSingleThreadScheduledExecutor();
    private final Path output;
    private final Process process;
    private final ProcessControl control;
    private InetSocketAddress callers;
    private ProcessMemory memory;
    private long descriptorsBefore;
    /** Highest sum of resident memory and unread bytes that was sampled. */
    private volatile long mostKilobytes;

    /** Starts a main class of this program with the heap of a crowded process. */
    public CrowdedProcess(String mainClass, List<String> arguments, Map<String, String> environment)
            throws IOException {
        output = Files.createTempDirectory("crowded-process").resolve("output");
        List<String> command = new ArrayList<>(List.of(
                new File(System.getProperty("java.home"), "bin/java").getPath(),
                "-Xmx" + HEAP_KILOBYTES + "k",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile());
        builder.environment().putAll(environment);
        process = builder.start();
        control = new ProcessControl(process, EXIT_TIMEOUT_SECONDS);
    }

    /** Waits until the process has written a line that starts with a prefix, and returns the line. */
    public String awaitOutput(String prefix) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + START_LIMIT.toNanos();
        while (true) {
            for (String line : lines()) {
                if (line.startsWith(prefix)) {
                    return line;
                }
            }
            assertTrue(process.isAlive() && System.nanoTime() < endNanos, this::state);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    /**
     * Waits until ordinary requests are answered, and notes what the process uses.
     *
     * @param callerAddress where callers connect
     * @param ports all ports on which the process accepts connections
     */
    public void awaitReady(InetSocketAddress callerAddress, Set<Integer> ports)
            throws IOException, InterruptedException {
        callers = callerAddress;
        memory = new ProcessMemory(process.pid(), ports);
        awaitAnswer(START_LIMIT);
        descriptorsBefore = memory.descriptors();
        sampling.scheduleWithFixedDelay(this::sample, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sample() {
        try {
            mostKilobytes = Math.max(mostKilobytes, memory.residentKilobytes() + memory.unreadKilobytes());
        } catch (IOException e) {
            // The process has ended; the checks say so.
            sampling.shutdown();
        }
    }

    public InetSocketAddress callers() {
        return callers;
    }

    /** Freezes the process, as its machine may, so that it reads nothing. */
    public void freeze() {
        control.freeze();
    }

    /** Thaws the process. */
    public void thaw() {
        control.thaw();
    }

    /** Waits until a number of descriptors more are open than before the crowd. */
    public void awaitAccepted(int connections) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + ANSWER_LIMIT.toNanos();
        while (memory.descriptors() < descriptorsBefore + connections) {
            assertTrue(System.nanoTime() < endNanos, this::state);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    /**
     * Checks that what is received and not read would leave the process within its memory if as many connections as one
     * port can have held as much each as those of the crowd.
     */
    public void assertRoomForUnreadBytes(int connections) throws IOException {
        long unreadKilobytes = memory.unreadKilobytes();
        assertTrue(unreadKilobytes > 0, "nothing was received");
        long residentKilobytes = memory.residentKilobytes();
        long allKilobytes = unreadKilobytes * MAX_CONNECTIONS / connections;
        assertTrue(
                residentKilobytes + allKilobytes <= MAX_KILOBYTES,
                () -> residentKilobytes + " kB resident, " + unreadKilobytes + " kB unread on " + connections
                        + " connections");
    }

    /** Checks what must hold at any time: the process lives within its memory and descriptors, and answers. */
    public void assertServes() throws IOException, InterruptedException {
        awaitAnswer(ANSWER_LIMIT);
        assertTrue(process.isAlive(), this::state);
        long kilobytes = Math.max(mostKilobytes, memory.mostResidentKilobytes());
        assertTrue(kilobytes <= MAX_KILOBYTES, () -> kilobytes + " kB with unread bytes\n" + state());
        long descriptors = memory.descriptors();
        assertTrue(descriptors <= MAX_DESCRIPTORS, () -> descriptors + " descriptors");
        assertEquals(0, outOfMemoryErrors(), this::state);
    }

    /** Checks that an ordinary request with a body of this length is answered, besides the above. */
    public void assertServesBodyOf(int bytes) throws IOException, InterruptedException {
        awaitAnswer(ANSWER_LIMIT, HttpRequest.BodyPublishers.ofByteArray(new byte[bytes]));
        assertServes();
    }

    /** Checks that the descriptors of a crowd that has left are returned, besides the above. */
    public void assertServesAsBefore() throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + ANSWER_LIMIT.toNanos();
        while (memory.descriptors() > descriptorsBefore + MAX_EXTRA_DESCRIPTORS) {
            assertTrue(System.nanoTime() < endNanos, "descriptors are not returned");
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        assertServes();
    }

    private void awaitAnswer(Duration limit) throws IOException, InterruptedException {
        awaitAnswer(limit, HttpRequest.BodyPublishers.noBody());
    }

    private void awaitAnswer(Duration limit, HttpRequest.BodyPublisher body) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + limit.toNanos();
        while (!isAnswered(body)) {
            assertTrue(process.isAlive(), () -> "the process has ended with " + process.exitValue() + "\n" + state());
            assertTrue(System.nanoTime() < endNanos, () -> "no answer\n" + state());
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private boolean isAnswered(HttpRequest.BodyPublisher body) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + callers.getHostString() + ":" + callers.getPort() + "/p/ordinary"))
                .header("X-Siskindyke-Request-Id", "ordinary" + System.nanoTime())
                .timeout(RESPONSE_TIMEOUT)
                .method("GET", body)
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == OK;
        } catch (IOException e) {
            // Refused or closed; the caller of this method sends further requests until its limit.
            return false;
        }
    }

    private List<String> lines() throws IOException {
        return Files.readAllLines(output, StandardCharsets.ISO_8859_1);
    }

    private long outOfMemoryErrors() throws IOException {
        return lines().stream()
                .filter(line -> line.contains("OutOfMemoryError"))
                .count();
    }

    /** Describes the process for the message of a failed check. */
    private String state() {
        try {
            List<String> lines = lines();
            String use = process.isAlive() && memory != null
                    ? memory.mostResidentKilobytes() + " kB resident at most, " + mostKilobytes
                            + " kB with unread bytes, " + memory.descriptors() + " descriptors\n"
                    : "";
            return use + outOfMemoryErrors() + " times out of memory\n"
                    + String.join("\n", lines.subList(Math.max(0, lines.size() - 12), lines.size()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        sampling.shutdownNow();
        process.destroyForcibly();
    }
}
