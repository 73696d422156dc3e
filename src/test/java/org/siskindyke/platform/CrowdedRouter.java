package org.siskindyke.platform;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.siskindyke.RawHttpServer;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.traffic.TrafficLoop;
import org.siskindyke.standin.StoreStandin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A real process of the router with little memory, beside a store and a backend server in this JVM. */
final class CrowdedRouter implements AutoCloseable {
    /** The memory of the smallest host, in kilobytes. */
    private static final long HOST_KILOBYTES = 330_000;

    private static final long DEPLOYED_HEAP_KILOBYTES = 96 * 1_024;
    private static final long HEAP_KILOBYTES = 32 * 1_024;
    /**
     * The process has a third of the heap that it has on its host, and so of the direct memory; its resident memory may
     * be less than that of the host by as much.
     */
    private static final long MAX_RESIDENT_KILOBYTES = HOST_KILOBYTES - 2 * (DEPLOYED_HEAP_KILOBYTES - HEAP_KILOBYTES);
    /** Descriptors of the smallest host without those that are reserved for files. */
    private static final long MAX_DESCRIPTORS = 3_900;
    /** Descriptors above those before a crowd that may be open once it has left: connections to the backend server. */
    private static final long MAX_EXTRA_DESCRIPTORS = 40;
    /** Generous, since it is no check of performance. */
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(40);

    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
    private static final long POLL_MILLIS = 50;
    private static final long HEARTBEAT_MILLIS = 200;
    private static final int METRICS_PORT = 9464;
    private static final int OK = 200;
    /** Time that the backend server takes for a request of a crowd, so that such requests wait. */
    private static final long CROWD_WORK_MILLIS = 100;

    private static final int CROWD_RESPONSE_BYTES = 256 * 1_024;
    private static final String CONFIGURATION = """
            {"version":"r1","services":[{"name":"plain","max_connections":20}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
              "header_timeout_ms":3000,"idle_timeout_ms":120000},
             "virtual_hosts":[{"hostname":"127.0.0.1","paths":[
              {"name":"p","prefix":"/p/","route_type":"safe","timeout_ms":3000,"aim_ms":1000,
               "priority":1,"service":"plain","max_attempts":2}]}]}
            """;

    private final TrafficLoop traffic = new TrafficLoop();
    private final HttpClient client = HttpClient.newHttpClient();
    private final ScheduledExecutorService heartbeats = Executors.newSingleThreadScheduledExecutor();
    private final RawHttpServer backend;
    private final Path output;
    private final Process process;
    private final InetSocketAddress callers = LoopbackCluster.freeAddress();
    private final InetSocketAddress control = LoopbackCluster.freeAddress();
    private long descriptorsBefore;
    private int sequence;

    /** Starts the process and waits until it answers. */
    CrowdedRouter() throws IOException, InterruptedException {
        StoreStandin store = new StoreStandin(traffic, SystemMonotonicClock.INSTANCE);
        InetSocketAddress storeAddress = LoopbackCluster.freeAddress();
        store.listen(storeAddress);
        store.put("op", "config", CONFIGURATION);
        backend = new RawHttpServer(() -> request -> List.of(respond(request)));
        Path directory = Files.createTempDirectory("crowded-router");
        output = directory.resolve("output");
        Path settings = directory.resolve("settings.json");
        Files.writeString(settings, settings(storeAddress));
        process = start(settings);
        heartbeats.scheduleWithFixedDelay(this::sendHeartbeat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        awaitAnswer(START_LIMIT);
        descriptorsBefore = descriptors();
    }

    private Process start(Path settings) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                        new File(System.getProperty("java.home"), "bin/java").getPath(),
                        "-Xmx" + HEAP_KILOBYTES + "k",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:-UsePerfData",
                        "-cp",
                        System.getProperty("java.class.path"),
                        PlatformMain.class.getName())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile());
        builder.environment().put(SettingsReader.PATH_VARIABLE, settings.toString());
        return builder.start();
    }

    private String settings(InetSocketAddress store) throws IOException {
        InetSocketAddress peers = addressWithFreeMetricsPort();
        return """
                {"node_name":"crowded","zone":"a","service":"plain","heartbeat_ms":%d,
                 "listen":{"outbound":"%s","inbound":"%s","ready":"%s","control":"%s"},
                 "platform":{"address":"%s"},
                 "bounds":{"drain_ms":2000,"grace_s":6,"hold_max_ms":10000,"retry_budget_ratio":0.2,
                  "budget_extra":60,"budget_window_s":10}}
                """.formatted(
                        HEARTBEAT_MILLIS,
                        text(callers),
                        text(peers),
                        text(LoopbackCluster.freeAddress()),
                        text(control),
                        text(store));
    }

    /** Returns an address of another loopback host, since the port of the metrics is the same for all processes. */
    private static InetSocketAddress addressWithFreeMetricsPort() throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String host = "127.%d.%d.%d".formatted(random.nextInt(1, 255), random.nextInt(1, 255), random.nextInt(1, 255));
        try (ServerSocket metrics = new ServerSocket()) {
            metrics.bind(new InetSocketAddress(host, METRICS_PORT));
        }
        return new InetSocketAddress(host, LoopbackCluster.freeAddress().getPort());
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String respond(RawHttpServer.Request request) {
        boolean ofCrowd = request.id().startsWith("crowd");
        if (ofCrowd) {
            try {
                TimeUnit.MILLISECONDS.sleep(CROWD_WORK_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        String body = "x".repeat(ofCrowd ? CROWD_RESPONSE_BYTES : 2);
        return "HTTP/1.1 200 OK\r\nX-Siskindyke-Request-Id: " + request.id()
                + "\r\nX-Siskindyke-Response-Signature: s\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void sendHeartbeat() {
        sequence++;
        String body = "{\"service\":\"plain\",\"address\":\"" + text(backend.address())
                + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":1,"
                + "\"holds\":[],\"freed\":[],\"seq_num\":" + sequence + "}";
        try {
            client.send(
                    HttpRequest.newBuilder(URI.create("http://" + text(control) + "/instances/i-crowded/heartbeat"))
                            .timeout(RESPONSE_TIMEOUT)
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build(),
                    HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            // The router does not listen yet, or has closed the connection; the next heartbeat follows.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    InetSocketAddress callers() {
        return callers;
    }

    /** Checks what must hold at any time: the process lives within its memory and descriptors, and answers. */
    void assertServes() throws IOException, InterruptedException {
        awaitAnswer(ANSWER_LIMIT);
        assertTrue(process.isAlive(), this::state);
        long residentKilobytes = residentKilobytes();
        assertTrue(residentKilobytes <= MAX_RESIDENT_KILOBYTES, () -> residentKilobytes + " kB\n" + state());
        long descriptors = descriptors();
        assertTrue(descriptors <= MAX_DESCRIPTORS, () -> descriptors + " descriptors");
        assertEquals(0, outOfMemoryErrors(), this::state);
    }

    /** Checks that the descriptors of a crowd that has left are returned, besides the above. */
    void assertServesAsBefore() throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + ANSWER_LIMIT.toNanos();
        while (descriptors() > descriptorsBefore + MAX_EXTRA_DESCRIPTORS) {
            assertTrue(System.nanoTime() < endNanos, "descriptors are not returned");
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        assertServes();
    }

    private void awaitAnswer(Duration limit) throws InterruptedException {
        long endNanos = System.nanoTime() + limit.toNanos();
        while (!isAnswered()) {
            assertTrue(process.isAlive(), () -> "the process has ended with " + process.exitValue() + "\n" + state());
            assertTrue(System.nanoTime() < endNanos, () -> "no answer\n" + state());
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private boolean isAnswered() throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + text(callers) + "/p/ordinary"))
                .header("X-Siskindyke-Request-Id", "ordinary" + System.nanoTime())
                .timeout(RESPONSE_TIMEOUT)
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == OK;
        } catch (IOException e) {
            // Refused or closed; the caller of this method sends further requests until its limit.
            return false;
        }
    }

    /** Returns the highest resident memory so far. */
    private long residentKilobytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    private long descriptors() throws IOException {
        try (var entries = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return entries.count();
        }
    }

    private long outOfMemoryErrors() throws IOException {
        return Files.readAllLines(output, StandardCharsets.ISO_8859_1).stream()
                .filter(line -> line.contains("OutOfMemoryError"))
                .count();
    }

    /** Describes the process for the message of a failed check. */
    private String state() {
        try {
            List<String> lines = Files.readAllLines(output, StandardCharsets.ISO_8859_1);
            String memory = process.isAlive() ? residentKilobytes() + " kB, " + descriptors() + " descriptors\n" : "";
            return memory + outOfMemoryErrors() + " times out of memory\n"
                    + String.join("\n", lines.subList(Math.max(0, lines.size() - 12), lines.size()));
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Override
    public void close() {
        heartbeats.shutdownNow();
        process.destroyForcibly();
        backend.close();
        traffic.close();
    }
}
