package org.siskindyke.platform;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.siskindyke.command.Main;
import org.siskindyke.kernel.balance.ScaledTargetChooser;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.runtime.traffic.Cancellable;
import org.siskindyke.runtime.traffic.ExplainHandler;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.RequestExplanation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Asks routers where a request would go, over HTTP and with the command. */
class ExplainTest {
    private static final int OK = 200;
    private static final long TIMEOUT_MILLIS = 30_000;
    private static final List<String> DOMAINS = List.of("a", "b", "c");

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int explain(LoopbackCluster.Instance instance, String... arguments) {
        List<String> line = new ArrayList<>(List.of(
                "explain",
                "--router",
                "127.0.0.1:" + instance.settings().addresses().metrics().getPort()));
        line.addAll(List.of(arguments));
        out.reset();
        err.reset();
        return Main.run(line, Map.of(), new PrintStream(out, true), new PrintStream(err, true));
    }

    private JsonNode service() {
        return Json.read(out.toString(StandardCharsets.UTF_8), JsonNode.class)
                .path("services")
                .path(0);
    }

    /** Guards against an explanation that differs from what the router does, or that sends the request. */
    @Example
    void theCommandShowsCandidatesOwnerAndChoice() throws InterruptedException {
        LoopbackCluster cluster = new LoopbackCluster(new PrintStream(PrintStream.nullOutputStream()));
        cluster.configure(SelfCheck.CONFIGURATION);
        for (int i = 0; i < ScaledTargetChooser.MANY_TARGETS; i++) {
            cluster.start("plain", false, DOMAINS.get(i % DOMAINS.size()))
                    .backend()
                    .announce(new Header("X-Siskindyke-Server-Load", "1,0,4,150"));
        }
        LoopbackCluster.Instance asked = cluster.instances().get(0);
        LoopbackCluster.Instance keyed = cluster.start("keyed", true, "a");
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        JsonNode plain = Json.mapper().createObjectNode();
        while (plain.path("candidates").size() < ScaledTargetChooser.MANY_TARGETS
                || plain.findValues("serverRunning").isEmpty()
                || cluster.request(asked, "/k/0", 7) != OK) {
            assertTrue(System.nanoTime() < endNanos, () -> out + " " + err);
            cluster.request(asked, "/p/0", 0);
            plain = explain(asked, "--host", "127.0.0.1", "--path", "/p/0") == 0 ? service() : plain;
        }
        assertEquals("proportional-filling", plain.path("method").asText());
        assertEquals(
                "SAME_DOMAIN", plain.path("candidates").path(0).path("distance").asText());
        assertTrue(
                plain.findValuesAsText("member").contains(plain.path("choice").asText()));
        int before = keyed.backend().executedRequestIds().size();
        assertEquals(0, explain(asked, "--host", "127.0.0.1", "--path", "/k/0", "--key", "7"));
        assertEquals("owner of the slice", service().path("reason").asText());
        assertTrue(service().path("choice").asText().startsWith("keyed"));
        assertEquals(before, keyed.backend().executedRequestIds().size());
        assertEquals(1, explain(asked, "--host", "127.0.0.1", "--path", "/none"));
        assertTrue(err.toString().startsWith("NOT_FOUND: "), err.toString());
        assertEquals(2, explain(asked, "--host", "127.0.0.1", "--path", "/k/0", "--key", "65536"));
        assertTrue(err.toString().startsWith("INVALID_REQUEST: "), err.toString());
    }

    private static HttpExchange.Response respond(String method, String target) {
        ExplainHandler handler = new ExplainHandler(
                (host, path, key) -> new RequestExplanation(host + path + key, 0, 0, 0, List.of()),
                (request, responder) -> {
                    responder.respond(HttpExchange.Response.empty(OK));
                    return Cancellable.NONE;
                });
        HttpExchange.Response[] response = new HttpExchange.Response[1];
        handler.handle(new HttpExchange.Request(method, target, List.of(), new byte[0], null), r -> response[0] = r);
        return response[0];
    }

    @Example
    void parametersAreDecodedAndOtherPathsPassedOn() {
        String body = new String(
                respond("GET", "/explain?host=h%3A1&path=%2Fa%3Fb&key=7").body(), StandardCharsets.UTF_8);
        assertTrue(body.contains("h:1/a?b" + OptionalInt.of(7)), body);
        assertEquals(0, respond("GET", "/metrics").body().length);
        assertEquals(0, respond("GET", "/explained").body().length);
    }

    /** Guards against a wrong answer to a question that was mistyped. */
    @Example
    void invalidInputIsRefusedWithACode() {
        for (String query : List.of(
                "",
                "?host=h",
                "?path=/a",
                "?host=&path=/a",
                "?host=h&path=a",
                "?host=h&host=i&path=/a",
                "?host=h&path=/a&key=",
                "?host=h&path=/a&key=x",
                "?host=h&path=/a&key=-1",
                "?host=h&path=/a&key=65536",
                "?host=h&path=/a&keys=1",
                "?host=%zz&path=/a")) {
            HttpExchange.Response response = respond("GET", "/explain" + query);
            assertEquals(400, response.status(), query);
            String body = new String(response.body(), StandardCharsets.UTF_8);
            assertTrue(body.startsWith("{\"code\":\"INVALID_REQUEST\""), body);
        }
        assertEquals(400, respond("POST", "/explain?host=h&path=/a").status());
    }

    @Property(tries = 200, seed = "17")
    void anyQueryGetsAnAnswer(@ForAll String query) {
        int status = respond("GET", "/explain?" + query).status();
        assertTrue(status == OK || status == 400);
    }
}
