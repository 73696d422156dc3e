package org.siskindyke.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.InstanceSettings;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.traffic.TrafficLoop;
import org.siskindyke.standin.HeartbeatTarget;
import org.siskindyke.standin.StoreStandin;

/**
 * Tries the whole path on loopback: two routers with a stand-in of the store and of their backend servers, and requests
 * with and without keys. The build runs it to record the classes that a start needs.
 */
final class SelfCheck {
    private static final Duration HEARTBEAT = Duration.ofMillis(100);
    private static final long LIMIT_MILLIS = 20_000;
    private static final int ROUNDS = 100;
    private static final int KEY_STEP = 601;
    private static final String HOST = "127.0.0.1";
    private static final String SETTINGS = "{\"node_name\":\"n\",\"zone\":\"z\",\"service\":\"s\",\"listen\":{"
            + "\"inbound\":\"127.0.0.1:1\",\"outbound\":\"127.0.0.1:2\",\"ready\":\"127.0.0.1:3\","
            + "\"control\":\"127.0.0.1:4\"},\"platform\":{\"address\":\"127.0.0.1:5\"},\"heartbeat_ms\":100,"
            + "\"bounds\":{\"drain_ms\":2000,\"grace_s\":6,\"hold_max_ms\":10000,\"retry_budget_ratio\":0.2,"
            + "\"budget_extra\":60,\"budget_window_s\":10}}";
    private static final String CONFIGURATION = "{\"version\":\"r1\",\"services\":[{\"name\":\"keyed\","
            + "\"max_connections\":20,\"sharded\":true},{\"name\":\"plain\",\"max_connections\":20}],"
            + "\"virtual_hosts\":[{\"hostname\":\"127.0.0.1\",\"paths\":["
            + "{\"name\":\"k\",\"prefix\":\"/k/\",\"route_type\":\"safe\",\"timeout_ms\":5000,\"aim_ms\":1000,"
            + "\"priority\":1,\"service\":\"keyed\",\"max_attempts\":2},"
            + "{\"name\":\"p\",\"prefix\":\"/p/\",\"route_type\":\"unsafe\",\"timeout_ms\":5000,\"aim_ms\":1000,"
            + "\"priority\":1,\"service\":\"plain\",\"max_attempts\":2}]}]}";

    private SelfCheck() {}

    /**
     * Runs the check.
     *
     * @param out takes one line with the result
     * @return whether all requests were answered
     */
    static boolean run(PrintStream out) throws InterruptedException {
        SettingsReader.parse(SETTINGS);
        TrafficLoop traffic = new TrafficLoop();
        EventLog log = new EventLog("self-check", new PrintStream(PrintStream.nullOutputStream()));
        StoreStandin store = new StoreStandin(traffic, SystemMonotonicClock.INSTANCE);
        InetSocketAddress storeAddress = freeAddress();
        store.listen(storeAddress);
        store.put("op", "config", CONFIGURATION);
        InstanceSettings keyed = startPair(traffic, log, storeAddress, "keyed", "a");
        InstanceSettings plain = startPair(traffic, log, storeAddress, "plain", "b");
        int answered = 0;
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS);
        HttpClient client = HttpClient.newHttpClient();
        while (answered < 2 * ROUNDS && System.nanoTime() < endNanos) {
            answered += request(client, keyed, "/p/0", answered) ? 1 : 0;
            answered += request(client, plain, "/k/0", answered) ? 1 : 0;
        }
        boolean whole = answered >= 2 * ROUNDS;
        out.println("self-check " + (whole ? "passed" : "failed") + ": " + answered + " requests answered");
        return whole;
    }

    private static InstanceSettings startPair(
            TrafficLoop traffic, EventLog log, InetSocketAddress store, String service, String domain) {
        InstanceSettings settings = new InstanceSettings(
                InstanceName.of("instance-" + service),
                FailureDomain.of(domain),
                ServiceName.of(service),
                new InstanceSettings.Addresses(
                        freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()),
                store,
                HEARTBEAT,
                new InstanceSettings.Bounds(
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(6),
                        Duration.ofSeconds(10),
                        0.2,
                        60,
                        Duration.ofSeconds(10)));
        PlatformRouter.start(settings, traffic, log);
        HeartbeatTarget.Identity identity = new HeartbeatTarget.Identity(
                "i-" + service,
                service,
                domain,
                freeAddress(),
                settings.addresses().heartbeats(),
                service.equals("keyed"),
                HEARTBEAT.toMillis());
        new HeartbeatTarget(traffic, SystemMonotonicClock.INSTANCE, identity).start();
        return settings;
    }

    private static boolean request(HttpClient client, InstanceSettings at, String path, int number)
            throws InterruptedException {
        InetSocketAddress callers = at.addresses().callers();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + callers.getPort() + path))
                .header("X-Siskindyke-Request-Id", "r" + number)
                .header("X-Siskindyke-Timeout-Ms", "2000")
                .header("X-Siskindyke-Shard-Key", Integer.toString(number * KEY_STEP % 65_536))
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
        } catch (IOException e) {
            // The routers may still be joining; the loop ends by its own limit.
            return false;
        }
    }

    private static InetSocketAddress freeAddress() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new InetSocketAddress(HOST, socket.getLocalPort());
        } catch (IOException e) {
            throw new SiskindykeException(ErrorCode.ADDRESS_UNAVAILABLE, "no free port", e);
        }
    }
}
