package org.siskindyke.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.auto.service.AutoService;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.runtime.traffic.ExplainHandler;

/** Prints where a router would send a request now, and why, without sending it. */
@AutoService(Command.class)
public final class ExplainCommand implements Command {
    private static final Duration TIMEOUT = Duration.ofSeconds(8);
    private static final int OK = 200;

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "shows where a router would send a request now, and why";
    }

    @Override
    public Flags flags() {
        return new Flags()
                .required("router", "address:metrics-port of a router on the users' platform")
                .required("host", "value of the request's Host header")
                .required("path", "path of the request")
                .optional("key", "", "key of the request, for a divided service");
    }

    @Override
    public int run(Flags.Values settings, PrintStream out) throws InterruptedException {
        Flags.Endpoint router = settings.endpoint("router");
        String query = "host=" + encode(settings.text("host")) + "&path=" + encode(settings.text("path"))
                + (settings.has("key") ? "&key=" + encode(settings.text("key")) : "");
        HttpResponse<String> response = get(router, query);
        if (response.statusCode() != OK) {
            throw problem(response);
        }
        out.println(parse(response.body()).toPrettyString());
        return 0;
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static HttpResponse<String> get(Flags.Endpoint router, String query) throws InterruptedException {
        String address = router.host() + ":" + router.port();
        try {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://" + address + ExplainHandler.PATH + "?" + query))
                    .timeout(TIMEOUT)
                    .build();
            return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IllegalArgumentException e) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_SETTING, "--router is '" + address + "'; give address:port", e);
        } catch (IOException e) {
            throw new SiskindykeException(
                    ErrorCode.PEER_UNAVAILABLE, "no response from the router at " + address + "; check --router", e);
        }
    }

    /** Returns the error that the router reports, or {@code INTERNAL} for a response of another program. */
    private static SiskindykeException problem(HttpResponse<String> response) {
        JsonNode body = parse(response.body());
        ErrorCode code = ErrorCode.INTERNAL;
        for (ErrorCode known : ErrorCode.values()) {
            code = known.name().equals(body.path("code").asText()) ? known : code;
        }
        return new SiskindykeException(
                code, body.path("detail").asText("the router responded with status " + response.statusCode()));
    }

    private static JsonNode parse(String body) {
        try {
            return Json.mapper().readTree(body);
        } catch (JsonProcessingException e) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_REQUEST, "the response is no JSON; check that --router names a metrics port", e);
        }
    }
}
