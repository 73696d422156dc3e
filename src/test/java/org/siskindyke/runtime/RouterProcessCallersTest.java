package org.siskindyke.runtime;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.siskindyke.kernel.control.ControlSettings;
import org.siskindyke.kernel.document.DocumentReader;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.plugin.table.EmbeddedTable;
import org.siskindyke.runtime.admin.AdminClient;
import org.siskindyke.runtime.call.CallReader;
import org.siskindyke.standin.BackendFaults;
import org.siskindyke.standin.BackendStandin;
import org.siskindyke.standin.Ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** What callers of the router command get for requests within and beyond its limits. */
class RouterProcessCallersTest {
    private static final long START_LIMIT_MILLIS = 30_000;
    private static final String HOST = "127.0.0.1";
    private static final String DOCUMENT = """
            service: stock
            team: t
            match:
              hosts: [127.0.0.1]
              pathPrefix: /stock
            keys:
              divided: true
              source: QUERY
              name: item
              slices: 4
            targets:
              - name: stock-1
                failureDomain: a
                slots: 4
                connections: 20
            calls:
              timeoutMillis: 5000
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

    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static BackendStandin backend;
    private static RouterProcess router;

    @BeforeContainer
    static void startRouter() throws InterruptedException {
        backend = new BackendStandin("stock-1", HOST, 0, 4, false, BackendFaults.NONE, new Ledger(null));
        router = new RouterProcess(settings(), new EmbeddedTable());
        router.start();
        router.announce(new TargetAnnouncement(
                ServiceName.of("stock"), TargetName.of("stock-1"), HOST, backend.port(), true, false));
        try (AdminClient admin = new AdminClient(HOST, router.address().adminPort())) {
            admin.put(DocumentReader.read(DOCUMENT), 0, "test");
        }
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_LIMIT_MILLIS);
        HttpResponse<String> response = get("/stock?item=1");
        while (response.statusCode() != 200) {
            String body = response.body();
            assertTrue(System.nanoTime() < endNanos, () -> "the router does not serve: " + body);
            TimeUnit.MILLISECONDS.sleep(20);
            response = get("/stock?item=1");
        }
    }

    /** Returns the settings of a router that needs no other one to renew its lease. */
    private static RouterSettings settings() {
        RouterSettings free = RouterSettings.onFreePorts("one", "a");
        ControlSettings control = free.control();
        return new RouterSettings(
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
                false);
    }

    @AfterContainer
    static void stopRouter() {
        router.close();
        backend.close();
    }

    private static URI uri(String target) {
        return URI.create("http://" + HOST + ":" + router.address().callerPort() + target);
    }

    private static HttpResponse<String> send(HttpRequest.Builder request) throws InterruptedException {
        try {
            return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static HttpResponse<String> get(String target) throws InterruptedException {
        return send(HttpRequest.newBuilder(uri(target)));
    }

    private static HttpResponse<String> put(int bodyBytes) throws InterruptedException {
        return send(HttpRequest.newBuilder(uri("/stock?item=1"))
                .PUT(HttpRequest.BodyPublishers.ofByteArray(new byte[bodyBytes])));
    }

    /** Sends bytes as they are and returns all that is received until the connection ends. */
    private static String sendRaw(String text) throws IOException {
        try (Socket socket = new Socket(HOST, router.address().callerPort())) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static void assertRefused(int status, String code, HttpResponse<String> response) {
        assertEquals(status, response.statusCode());
        assertEquals(List.of(code), response.headers().allValues("siskindyke-code"));
        assertEquals(List.of("NOT_RUN"), response.headers().allValues("siskindyke-verdict"));
        assertTrue(response.body().contains("\"code\":\"" + code + "\""), response.body());
    }

    @Example
    void anAnswerCarriesItsVerdictAndOneCallId() throws Exception {
        HttpResponse<String> response = get("/stock?item=1");
        assertEquals(200, response.statusCode());
        assertEquals(List.of("RAN"), response.headers().allValues("siskindyke-verdict"));
        assertEquals(1, response.headers().allValues("siskindyke-call-id").size());
        assertTrue(response.body().contains("\"key\":\"1\""), response.body());
    }

    @Example
    void theLongestBodyIsServedAndALongerOneIsRefused() throws Exception {
        HttpResponse<String> served = put(CallReader.MAX_BODY_BYTES);
        assertEquals(200, served.statusCode());
        assertTrue(served.body().contains("\"bodyLength\":" + CallReader.MAX_BODY_BYTES), served.body());
        assertRefused(413, "BODY_TOO_LARGE", put(CallReader.MAX_BODY_BYTES + 1));
    }

    @Example
    void aQueryThatCannotBeDecodedNamesNoKey() throws Exception {
        String response = sendRaw("GET /stock?item=%zz HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n");
        assertTrue(response.startsWith("HTTP/1.1 400 "), response);
        assertTrue(response.contains("siskindyke-code: NO_KEY"), response);
    }

    @Example
    void anAbsoluteTargetIsRoutedByItsPath() throws Exception {
        String response =
                sendRaw("GET http://127.0.0.1/stock?item=1 HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n");
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
    }

    @Example
    void requestsThatAreNotValidAreRefusedWithACode() throws Exception {
        String malformed = sendRaw("GET /stock HTTP/1.1\r\nHost\r\n\r\n");
        assertTrue(malformed.startsWith("HTTP/1.1 400 "), malformed);
        assertTrue(malformed.contains("siskindyke-code: MALFORMED_REQUEST"), malformed);
        String longHeaders = sendRaw("GET /stock HTTP/1.1\r\nHost: 127.0.0.1\r\n" + "a: b\r\n".repeat(20_000) + "\r\n");
        assertTrue(longHeaders.startsWith("HTTP/1.1 431 "), longHeaders);
        assertTrue(longHeaders.contains("siskindyke-code: HEADERS_TOO_LARGE"), longHeaders);
    }
}
