package org.siskindyke.standin;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.servicetalk.http.api.HttpClient;
import org.siskindyke.runtime.admin.AdminServer;
import org.siskindyke.runtime.http.Http;
import org.siskindyke.runtime.http.Json;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/** Announces a backend stand-in to the admin endpoint of the router beside it, every second. */
public final class Announcer implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 900;

    private final HttpClient client;
    private final String path;
    private final String body;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "announcer");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates an announcer.
     *
     * @param host address of the router
     * @param adminPort TCP port of the router for operators and backend servers
     * @param service the service of the backend server
     * @param announcement the body of each announcement
     */
    public Announcer(String host, int adminPort, String service, AdminServer.Announcement announcement) {
        this.client = Http.client(host, adminPort, Http.Protocol.HTTP_1_1);
        this.path = "/v1/targets/" + service;
        this.body = Json.write(announcement);
    }

    /** Starts the announcements; a failed one is ignored, since the next follows. */
    public void start() {
        timer.scheduleWithFixedDelay(this::announce, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Stops the announcements and deregisters the backend server, without waiting for the response. */
    public void withdraw() {
        timer.shutdown();
        client.request(client.delete(path)).subscribe(response -> {});
    }

    private void announce() {
        client.request(client.put(path).payloadBody(DEFAULT_ALLOCATOR.fromUtf8(body)))
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .toCompletable()
                .onErrorComplete()
                .subscribe();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        client.closeAsync().subscribe();
    }
}
