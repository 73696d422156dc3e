package org.siskindyke.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.common.hash.Hashing;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpClient;
import org.siskindyke.runtime.http.Http;

/**
 * The baseline without routers: callers hash each key over the backend servers that answer a health check.
 *
 * <p>Two backend servers may run calls of one key at the same time while callers disagree on which servers are healthy.
 */
public final class HashingClient implements CallSender {
    private static final long CHECK_INTERVAL_MILLIS = 500;
    private static final long CHECK_TIMEOUT_MILLIS = 400;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final int VIEW_COUNT = 4;

    private final Supplier<List<Integer>> ports;
    private final List<View> views = new ArrayList<>();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task, "health-check");
        thread.setDaemon(true);
        return thread;
    });

    /** The backend servers that one caller knows, and those of them that answered its last health check. */
    private static final class View {
        private volatile List<HttpClient> healthy = List.of();
        private List<Integer> ports = List.of();
        private List<HttpClient> clients = List.of();
    }

    /**
     * Creates several callers that each check the health of the backend servers on their own schedule.
     *
     * @param ports returns the current ports of the backend servers, in a fixed order; may be called on any thread
     */
    public HashingClient(Supplier<List<Integer>> ports) {
        this.ports = ports;
        for (int i = 0; i < VIEW_COUNT; i++) {
            View view = new View();
            views.add(view);
            check(view);
            timer.scheduleWithFixedDelay(
                    () -> check(view),
                    CHECK_INTERVAL_MILLIS * i / VIEW_COUNT,
                    CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void check(View view) {
        List<Integer> currentPorts = ports.get();
        if (!currentPorts.equals(view.ports)) {
            view.clients.forEach(c -> c.closeAsync().subscribe());
            view.clients = currentPorts.stream()
                    .map(port -> Http.client("127.0.0.1", port, Http.Protocol.HTTP_1_1))
                    .toList();
            view.ports = currentPorts;
        }
        List<HttpClient> healthy = new ArrayList<>();
        for (HttpClient client : view.clients) {
            if (isHealthy(client)) {
                healthy.add(client);
            }
        }
        view.healthy = healthy;
    }

    private static boolean isHealthy(HttpClient client) {
        try {
            client.request(client.get("/stats")).toFuture().get(CHECK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } catch (Exception e) {
            return false;
        }
    }

    @Override
    public int routerCount() {
        return VIEW_COUNT;
    }

    @Override
    public Single<CallRecord> send(OutgoingCall call, int router, long dueNanos) {
        List<HttpClient> healthy = views.get(Math.floorMod(router, VIEW_COUNT)).healthy;
        if (healthy.isEmpty()) {
            return Single.succeeded(CallerClient.noAnswer(call, dueNanos, true));
        }
        long hash = Hashing.murmur3_128()
                .hashString(call.key(), StandardCharsets.UTF_8)
                .asLong();
        HttpClient client = healthy.get((int) Math.floorMod(hash, (long) healthy.size()));
        return client.request(CallerClient.request(client, call))
                .timeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .map(response -> CallerClient.record(call, response, dueNanos))
                .onErrorReturn(failure -> CallerClient.noAnswer(call, dueNanos, false));
    }

    @Override
    public void close() {
        timer.shutdownNow();
        views.forEach(v -> v.clients.forEach(c -> c.closeAsync().subscribe()));
    }
}
