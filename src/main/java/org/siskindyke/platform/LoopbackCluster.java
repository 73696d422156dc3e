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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.runtime.DeploymentSettings;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.InstanceRouter;
import org.siskindyke.runtime.InstanceSettings;
import org.siskindyke.runtime.SystemMonotonicClock;
import org.siskindyke.runtime.traffic.TrafficLoop;
import org.siskindyke.standin.HeartbeatBackendStandin;
import org.siskindyke.standin.StoreStandin;

/** A cluster on loopback: routers with stand-ins for the store and for their backend servers. */
final class LoopbackCluster {
    /** Number of keys; keys run from 0 to one less. */
    static final int KEY_COUNT = 65_536;

    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(3);
    private static final String HOST = "127.0.0.1";
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 20_000;
    /** Starts at random, so that clusters in two processes rarely try the same ports. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));

    private static final InstanceSettings.Bounds BOUNDS = new InstanceSettings.Bounds(
            Duration.ofSeconds(2),
            Duration.ofSeconds(6),
            Duration.ofSeconds(10),
            0.2,
            60,
            Duration.ofSeconds(10),
            Duration.ofSeconds(5));

    private final TrafficLoop traffic = new TrafficLoop();
    private final EventLog log;
    private final StoreStandin store = new StoreStandin(traffic, SystemMonotonicClock.INSTANCE);
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<Instance> instances = new ArrayList<>();
    private final Map<InstanceSettings, InstanceRouter> routers = new HashMap<>();
    private DeploymentSettings deployment = DeploymentSettings.DEFAULT;
    private int instanceCount;
    private int requestCount;

    /**
     * An instance of the cluster.
     *
     * @param settings the settings of its router
     * @param backend the stand-in for its backend server
     */
    record Instance(InstanceSettings settings, HeartbeatBackendStandin backend) {}

    /** Creates a cluster without instances; routers log their events to {@code out}. */
    LoopbackCluster(PrintStream out) {
        this.log = new EventLog("loopback", out);
    }

    /** Writes a routing configuration, in the platform's JSON form, to the store. */
    void configure(String text) {
        store.put("op", "config", text);
    }

    /** Sets what the settings of the routers that are started from now on say of the deployment. */
    void setDeployment(DeploymentSettings settings) {
        deployment = settings;
    }

    StoreStandin store() {
        return store;
    }

    List<Instance> instances() {
        return List.copyOf(instances);
    }

    /**
     * Starts a router and its backend server. The store listens on a separate address for each instance, so that a test
     * can inject a fault for one instance only.
     */
    Instance start(String service, boolean divided, String failureDomain) {
        return start(service, divided, failureDomain, backend -> {});
    }

    /** Starts a router without a backend server, whose place the caller takes. */
    InstanceSettings startRouter(String service, String failureDomain) {
        InetSocketAddress storeAddress = freeAddress();
        store.listen(storeAddress);
        InetSocketAddress peers = freeAddress();
        InstanceSettings settings = new InstanceSettings(
                InstanceName.of(service + instanceCount++),
                FailureDomain.of(failureDomain),
                ServiceName.of(service),
                new InstanceSettings.Addresses(
                        freeAddress(), peers, peers, freeAddress(), freeAddress(), freeAddress()),
                storeAddress,
                HEARTBEAT_INTERVAL,
                BOUNDS,
                deployment);
        routers.put(settings, PlatformRouter.start(settings, traffic, log));
        return settings;
    }

    /** Starts a router and its backend server as above; {@code faults} is applied to the backend server first. */
    Instance start(String service, boolean divided, String failureDomain, Consumer<HeartbeatBackendStandin> faults) {
        InstanceSettings settings = startRouter(service, failureDomain);
        HeartbeatBackendStandin backend =
                new HeartbeatBackendStandin(traffic, SystemMonotonicClock.INSTANCE, newIdentity(settings, divided));
        faults.accept(backend);
        backend.start();
        Instance instance = new Instance(settings, backend);
        instances.add(instance);
        return instance;
    }

    /** Starts to stop the router of an instance, as SIGTERM does; the result completes once it has stopped. */
    CompletableFuture<Void> stopRouter(Instance instance) {
        InstanceRouter router = routers.get(instance.settings());
        return CompletableFuture.runAsync(() -> {
            try {
                router.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Sends a request to a router; returns the status of the response, or 0 where the request failed or timed out. */
    int request(Instance instance, String path, int key) throws InterruptedException {
        return request(instance.settings(), path, key);
    }

    /** Sends a request to the router with the given settings; otherwise as above. */
    int request(InstanceSettings router, String path, int key) throws InterruptedException {
        try {
            return client.send(newRequest(router, path, key), HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (IOException e) {
            // A router that does not listen yet refuses connections; a caller that waits for it sends further requests.
            return 0;
        }
    }

    /** Sends a request to the router with the given settings and returns the response. */
    HttpResponse<String> respond(InstanceSettings router, String path) throws InterruptedException, IOException {
        return client.send(newRequest(router, path, 0), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request with a given id to the router with the given settings and returns the response. */
    HttpResponse<String> respondAs(String requestId, InstanceSettings router, String path)
            throws InterruptedException, IOException {
        return client.send(newRequest(requestId, router, path), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a heartbeat to the router with the given settings, for a backend server that the caller runs. */
    void sendHeartbeat(InstanceSettings router, InetSocketAddress backend, int sequence) throws InterruptedException {
        String body = "{\"service\":\"" + router.service() + "\",\"address\":\"" + HOST + ":" + backend.getPort()
                + "\",\"zone\":\"" + router.failureDomain()
                + "\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":1,"
                + "\"holds\":[],\"freed\":[],\"seq_num\":" + sequence + "}";
        heartbeat(router, "i-" + router.instance(), body);
    }

    /** Sends a heartbeat as above; does nothing once the thread was interrupted. */
    void trySendHeartbeat(InstanceSettings router, InetSocketAddress backend, int sequence) {
        try {
            sendHeartbeat(router, backend, sequence);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a heartbeat with any body to the router with the given settings; returns the status of the reply. */
    int heartbeat(InstanceSettings router, String id, String body) throws InterruptedException {
        return report(router, id + "/heartbeat", body);
    }

    /** Deregisters a backend server at the router with the given settings; returns the status of the reply. */
    int deregister(InstanceSettings router, String id) throws InterruptedException {
        return report(router, id + "/deregister", "");
    }

    private int report(InstanceSettings router, String path, String body) throws InterruptedException {
        InetSocketAddress heartbeats = router.addresses().heartbeats();
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + HOST + ":" + heartbeats.getPort() + "/instances/" + path))
                .timeout(RESPONSE_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            throw new SiskindykeException(ErrorCode.ADDRESS_UNAVAILABLE, path + " was not acknowledged", e);
        }
    }

    /** Starts a backend server beside a router, under the name of the one before, with a given start time. */
    HeartbeatBackendStandin startAgain(InstanceSettings router, boolean divided, long startMillis) {
        HeartbeatBackendStandin backend = new HeartbeatBackendStandin(
                traffic,
                SystemMonotonicClock.INSTANCE,
                newIdentity(router, divided),
                startMillis,
                HeartbeatBackendStandin.Listener.NONE);
        backend.start();
        return backend;
    }

    private static HeartbeatBackendStandin.Identity newIdentity(InstanceSettings router, boolean divided) {
        return new HeartbeatBackendStandin.Identity(
                "i-" + router.instance(),
                router.service().value(),
                router.failureDomain().value(),
                freeAddress(),
                router.addresses().heartbeats(),
                divided,
                HEARTBEAT_INTERVAL.toMillis());
    }

    /** Sends a request to a router without waiting; the response fails where the request failed or timed out. */
    CompletableFuture<HttpResponse<String>> send(Instance instance, String path) {
        return send(instance, path, 0);
    }

    /** Sends a request with a given id without waiting; the response fails where the request failed or timed out. */
    CompletableFuture<HttpResponse<String>> sendAs(String requestId, Instance instance, String path) {
        return client.sendAsync(newRequest(requestId, instance.settings(), path), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest newRequest(String requestId, InstanceSettings router, String path) {
        return HttpRequest.newBuilder(newRequest(router, path, 0), (name, value) -> true)
                .setHeader("X-Siskindyke-Request-Id", requestId)
                .build();
    }

    /** Sends a request for a key; otherwise as above. */
    CompletableFuture<HttpResponse<String>> send(Instance instance, String path, int key) {
        return client.sendAsync(newRequest(instance.settings(), path, key), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest newRequest(InstanceSettings router, String path, int key) {
        InetSocketAddress callers = router.addresses().callers();
        return HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + callers.getPort() + path))
                .header("X-Siskindyke-Request-Id", "r" + requestCount++)
                .header("X-Siskindyke-Timeout-Ms", "2000")
                .header("X-Siskindyke-Shard-Key", Integer.toString(key))
                .timeout(RESPONSE_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .build();
    }

    /** Returns how many times a request has ended a backend server. */
    int crashes() {
        return instances.stream()
                .mapToInt(instance -> instance.backend().crashingRequestIds().size())
                .sum();
    }

    /** Returns the text of a router's metrics endpoint. */
    String metrics(Instance instance) throws InterruptedException {
        return metrics(instance.settings());
    }

    /** Returns the text of the metrics endpoint of the router with the given settings. */
    String metrics(InstanceSettings router) throws InterruptedException {
        InetSocketAddress address = router.addresses().metrics();
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + HOST + ":" + address.getPort() + "/metrics"))
                .timeout(RESPONSE_TIMEOUT)
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (IOException e) {
            throw new SiskindykeException(ErrorCode.ADDRESS_UNAVAILABLE, "metrics endpoint did not respond", e);
        }
    }

    /**
     * Returns an address that is free and that no other call in this process returns. Outgoing connections do not take
     * its port before it is bound, since the kernel gives them higher ones.
     */
    static InetSocketAddress freeAddress() {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORT_COUNT;
            InetSocketAddress address = new InetSocketAddress(HOST, port);
            if (isFree(address)) {
                return address;
            }
        }
        throw new SiskindykeException(ErrorCode.ADDRESS_UNAVAILABLE, "no free port");
    }

    private static boolean isFree(InetSocketAddress address) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(address);
            return true;
        } catch (IOException e) {
            // Another process uses the port.
            return false;
        }
    }
}
