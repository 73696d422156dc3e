package org.siskindyke.runtime;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.siskindyke.kernel.control.ControlSettings;
import org.siskindyke.kernel.document.DocumentReader;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.plugin.table.EmbeddedTable;
import org.siskindyke.runtime.admin.AdminClient;
import org.siskindyke.standin.BackendFaults;
import org.siskindyke.standin.BackendStandin;
import org.siskindyke.standin.Ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What callers of the router command get while a router leaves or is closed. */
class RouterProcessLeaveTest {
    private static final String HOST = "127.0.0.1";
    private static final String SERVED = "HTTP/1.1 200";
    private static final int TIMEOUT_SECONDS = 30;
    /** Longer than a router without slices takes to leave. */
    private static final long LONG_WORK_MILLIS = 3_000;
    /** Longer than the test. */
    private static final long ENDLESS_WORK_MILLIS = 60_000;

    private static final String DOCUMENT = """
            service: %s
            team: t
            match:
              hosts: [%s.example]
            keys:
              divided: false
            targets:
              - name: %s-1
                failureDomain: b
                slots: 4
                connections: 20
            calls:
              timeoutMillis: 60000
              idempotentMethods: [GET, PUT]
              idempotentPaths: []
              retryBudgetPercent: 10
              queueLength: 64
              queueMillis: 1000
              resendWindowSeconds: 60
            balance:
              unavailableTimeWeight: 0.8
              churnWeight: 0.2
            """;

    private final TableService table = new EmbeddedTable();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private final RouterProcess caller = startRouter("one", "a");
    private final RouterProcess other = startRouter("two", "b");

    private RouterProcess startRouter(String instance, String failureDomain) {
        RouterSettings free = RouterSettings.onFreePorts(instance, failureDomain);
        ControlSettings control = free.control();
        RouterProcess router = new RouterProcess(
                new RouterSettings(
                        free.instance(),
                        free.failureDomain(),
                        free.host(),
                        0,
                        0,
                        0,
                        free.targetPolicy(),
                        free.slicePolicy(),
                        new ControlSettings(
                                control.lease(),
                                control.pollMillis(),
                                control.gossipMillis(),
                                control.planMillis(),
                                control.outageBoundMillis(),
                                false),
                        false),
                table);
        router.start();
        resources.add(router);
        return router;
    }

    private BackendStandin startBackend(String service, long workMillis) {
        BackendStandin backend = new BackendStandin(
                service + "-1", HOST, 0, 4, false, BackendFaults.NONE.withWorkMillis(workMillis), new Ledger(null));
        resources.add(backend);
        other.announce(new TargetAnnouncement(
                ServiceName.of(service), TargetName.of(service + "-1"), HOST, backend.port(), true, false));
        try (AdminClient admin = new AdminClient(HOST, other.address().adminPort())) {
            admin.put(DocumentReader.read(DOCUMENT.formatted(service, service, service)), 0, "test");
        }
        return backend;
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(HOST, caller.address().callerPort());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        resources.add(socket);
        return socket;
    }

    private static void send(Socket socket, String service) throws IOException {
        String request = "GET / HTTP/1.1\r\nHost: " + service + ".example\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends requests until one is served. */
    private void awaitServing(String service) throws IOException {
        String statusLine = "";
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!statusLine.startsWith(SERVED)) {
            assertTrue(System.nanoTime() < endNanos, statusLine);
            Socket socket = connect();
            send(socket, service);
            statusLine = new String(socket.getInputStream().readNBytes(SERVED.length()), StandardCharsets.US_ASCII);
        }
    }

    private static void awaitRunning(BackendStandin backend, int count) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (backend.stats().running() < count) {
            assertTrue(System.nanoTime() < endNanos, "requests do not run");
            Thread.onSpinWait();
        }
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    /** Guards against requests at another router's backend server that are cut when the router of the caller leaves. */
    @Example
    void aRouterThatLeavesAnswersTheRequestsThatItHasForwarded() throws Exception {
        BackendStandin slow = startBackend("slow", LONG_WORK_MILLIS);
        awaitServing("slow");
        Socket socket = connect();
        send(socket, "slow");
        send(socket, "slow");
        awaitRunning(slow, 2);
        caller.leave().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        closeCaller();
        String responses = readAll(socket);
        assertEquals(3, responses.split(SERVED, -1).length, responses);
    }

    /** Guards against ready responses that wait for a longer request before them until the router is closed. */
    @Example
    void aRouterThatIsClosedSendsTheResponsesThatAreReady() throws Exception {
        startBackend("quick", 0);
        BackendStandin endless = startBackend("endless", ENDLESS_WORK_MILLIS);
        awaitServing("quick");
        Socket socket = connect();
        send(socket, "endless");
        send(socket, "quick");
        awaitRunning(endless, 1);
        awaitServing("quick");
        closeCaller();
        String responses = readAll(socket);
        assertTrue(responses.startsWith("HTTP/1.1 502"), responses);
        assertTrue(responses.contains("siskindyke-code: GIVEN_UP"), responses);
        assertTrue(responses.contains("siskindyke-verdict: MAY_HAVE_RUN"), responses);
        assertTrue(responses.contains(SERVED), responses);
    }

    private void closeCaller() {
        resources.remove(caller);
        caller.close();
    }

    @AfterTry
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }
}
