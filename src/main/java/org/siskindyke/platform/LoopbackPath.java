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
import java.util.ArrayList;
import java.util.List;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.InstanceSettings;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.traffic.TrafficLoop;
import org.siskindyke.standin.HeartbeatBackendStandin;
import org.siskindyke.standin.StoreStandin;

/** The whole path on loopback: routers with a stand-in of the store and of their backend servers. */
final class LoopbackPath {
    /** Keys run from 0 up to here. */
    static final int KEYS = 65_536;

    private static final Duration HEARTBEAT = Duration.ofMillis(100);
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(3);
    private static final String HOST = "127.0.0.1";
    private static final InstanceSettings.Bounds BOUNDS = new InstanceSettings.Bounds(
            Duration.ofSeconds(2), Duration.ofSeconds(6), Duration.ofSeconds(10), 0.2, 60, Duration.ofSeconds(10));

    private final TrafficLoop traffic = new TrafficLoop();
    private final EventLog log;
    private final StoreStandin store = new StoreStandin(traffic, SystemMonotonicClock.INSTANCE);
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<Instance> instances = new ArrayList<>();
    private int requests;

    /**
     * An instance on the path.
     *
     * @param settings the settings of its router
     * @param target its backend server
     */
    record Instance(InstanceSettings settings, HeartbeatBackendStandin target) {}

    /** Creates a path without instances; routers write their events to {@code out}. */
    LoopbackPath(PrintStream out) {
        log = new EventLog("loopback", out);
    }

    /** Puts a configuration into the store. */
    void configure(String text) {
        store.put("op", "config", text);
    }

    StoreStandin store() {
        return store;
    }

    List<Instance> instances() {
        return List.copyOf(instances);
    }

    /** Starts a router and its backend server, which reach the store at an address of their own. */
    Instance start(String service, boolean divided, String domain) {
        InetSocketAddress storeAddress = freeAddress();
        store.listen(storeAddress);
        String name = service + instances.size();
        InstanceSettings settings = new InstanceSettings(
                InstanceName.of(name),
                FailureDomain.of(domain),
                ServiceName.of(service),
                new InstanceSettings.Addresses(
                        freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()),
                storeAddress,
                HEARTBEAT,
                BOUNDS);
        PlatformRouter.start(settings, traffic, log);
        HeartbeatBackendStandin.Identity identity = new HeartbeatBackendStandin.Identity(
                "i-" + name,
                service,
                domain,
                freeAddress(),
                settings.addresses().heartbeats(),
                divided,
                HEARTBEAT.toMillis());
        HeartbeatBackendStandin target = new HeartbeatBackendStandin(traffic, SystemMonotonicClock.INSTANCE, identity);
        target.start();
        Instance instance = new Instance(settings, target);
        instances.add(instance);
        return instance;
    }

    /** Sends a request to a router and returns the status of the answer; 0 where the connection failed. */
    int request(Instance at, String path, int key) throws InterruptedException {
        InetSocketAddress callers = at.settings().addresses().callers();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + callers.getPort() + path))
                .header("X-Siskindyke-Request-Id", "r" + requests++)
                .header("X-Siskindyke-Timeout-Ms", "2000")
                .header("X-Siskindyke-Shard-Key", Integer.toString(key))
                .timeout(ANSWER_LIMIT)
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            // A router that does not listen yet refuses; callers of this method ask again until their own limit.
            return 0;
        }
    }

    /** Returns what a router's metrics endpoint says. */
    String metrics(Instance of) throws InterruptedException {
        InetSocketAddress address = of.settings().addresses().metrics();
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + HOST + ":" + address.getPort() + "/metrics"))
                .timeout(ANSWER_LIMIT)
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (IOException e) {
            throw new SiskindykeException(ErrorCode.ADDRESS_UNAVAILABLE, "no answer of the metrics endpoint", e);
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
