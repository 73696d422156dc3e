package org.siskindyke.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.siskindyke.RawHttpServer;
import org.siskindyke.crowd.CrowdedProcess;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.traffic.TrafficLoop;
import org.siskindyke.standin.StoreStandin;

/** A real process of the router with little memory, beside a store and a backend server in this JVM. */
final class CrowdedRouter implements AutoCloseable {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
    private static final long HEARTBEAT_MILLIS = 200;
    private static final int METRICS_PORT = 9464;
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
    private final CrowdedProcess process;
    private final InetSocketAddress callers = LoopbackCluster.freeAddress();
    private final InetSocketAddress peers = addressWithFreeMetricsPort();
    private final InetSocketAddress readiness = LoopbackCluster.freeAddress();
    private final InetSocketAddress control = LoopbackCluster.freeAddress();
    private int sequence;

    /** Starts the process and waits until it answers. */
    CrowdedRouter() throws IOException, InterruptedException {
        StoreStandin store = new StoreStandin(traffic, SystemMonotonicClock.INSTANCE);
        InetSocketAddress storeAddress = LoopbackCluster.freeAddress();
        store.listen(storeAddress);
        store.put("op", "config", CONFIGURATION);
        backend = new RawHttpServer(() -> request -> List.of(respond(request)));
        Path settings = Files.createTempDirectory("crowded-router").resolve("settings.json");
        Files.writeString(settings, settings(storeAddress));
        process = new CrowdedProcess(
                PlatformMain.class.getName(), List.of(), Map.of(SettingsReader.PATH_VARIABLE, settings.toString()));
        heartbeats.scheduleWithFixedDelay(this::sendHeartbeat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
        process.awaitReady(callers, Set.of(callers.getPort(), peers.getPort(), readiness.getPort(), control.getPort()));
    }

    CrowdedProcess process() {
        return process;
    }

    /** Returns where other routers connect. */
    InetSocketAddress peers() {
        return peers;
    }

    private String settings(InetSocketAddress store) {
        String listen = "\"outbound\":\"%s\",\"inbound\":\"%s\",\"ready\":\"%s\",\"control\":\"%s\""
                .formatted(text(callers), text(peers), text(readiness), text(control));
        return """
                {"node_name":"crowded","zone":"a","service":"plain","heartbeat_ms":%d,
                 "listen":{%s},
                 "platform":{"address":"%s"},
                 "bounds":{"drain_ms":2000,"grace_s":6,"hold_max_ms":10000,"retry_budget_ratio":0.2,
                  "budget_extra":60,"budget_window_s":10}}
                """.formatted(HEARTBEAT_MILLIS, listen, text(store));
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

    @Override
    public void close() {
        heartbeats.shutdownNow();
        process.close();
        backend.close();
        traffic.close();
    }
}
