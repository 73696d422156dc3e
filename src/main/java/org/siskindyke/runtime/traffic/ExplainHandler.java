package org.siskindyke.runtime.traffic;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import io.netty.handler.codec.http.QueryStringDecoder;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.input.NumberField;
import org.siskindyke.kernel.ownership.KeyRange;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.http.Json;

/**
 * Answers {@code GET /explain?host=H&path=P[&key=K]} with a {@link RequestExplanation} in JSON, and passes all other
 * requests on. Status 400 with code {@code INVALID_REQUEST} for a missing, repeated, unknown or malformed parameter,
 * 404 with {@code NOT_FOUND} where no route matches, 503 with {@code PEER_UNAVAILABLE} before the first configuration.
 */
public final class ExplainHandler implements HttpExchange.Handler {
    /** The path of the requests that are answered. */
    public static final String PATH = "/explain";

    private static final String HOST = "host";
    private static final String PATH_PARAMETER = "path";
    private static final String KEY = "key";
    private static final Set<String> PARAMETERS = Set.of(HOST, PATH_PARAMETER, KEY);
    private static final NumberField KEY_NUMBER = NumberField.ofMessage(KEY, 0, KeyRange.KEY_COUNT - 1);
    private static final Header JSON = new Header("Content-Type", "application/json");
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final Explainer explainer;
    private final HttpExchange.Handler others;

    /** Explains a request. */
    @FunctionalInterface
    public interface Explainer {
        /**
         * Returns where a request would go now.
         *
         * @param host the value of its Host header
         * @param path its path, possibly with a query
         * @param key its key; empty if it has none
         * @throws SiskindykeException with code {@code NOT_FOUND} if no route matches, or {@code PEER_UNAVAILABLE}
         *     before the first configuration
         */
        RequestExplanation explain(String host, String path, OptionalInt key);
    }

    /**
     * Creates a handler.
     *
     * @param explainer explains requests; called on the traffic loop
     * @param others handles requests to other paths
     */
    public ExplainHandler(Explainer explainer, HttpExchange.Handler others) {
        this.explainer = explainer;
        this.others = others;
    }

    @Override
    public Cancellable handle(HttpExchange.Request request, HttpExchange.Responder responder) {
        String target = request.target();
        if (!target.equals(PATH) && !target.startsWith(PATH + "?")) {
            return others.handle(request, responder);
        }
        responder.respond(respond(request));
        return Cancellable.NONE;
    }

    private HttpExchange.Response respond(HttpExchange.Request request) {
        try {
            return json(OK, explain(request));
        } catch (SiskindykeException e) {
            int status =
                    switch (e.code()) {
                        case NOT_FOUND -> NOT_FOUND;
                        case PEER_UNAVAILABLE -> UNAVAILABLE;
                        default -> BAD_REQUEST;
                    };
            return json(status, new Json.Problem(e.code().name(), e.getMessage()));
        }
    }

    private static HttpExchange.Response json(int status, Object body) {
        return new HttpExchange.Response(status, List.of(JSON), Json.write(body).getBytes(StandardCharsets.UTF_8));
    }

    private RequestExplanation explain(HttpExchange.Request request) {
        if (!request.method().equals("GET")) {
            throw invalid("use GET, not " + request.method());
        }
        Map<String, List<String>> parameters = parse(request.target());
        String host = required(parameters, HOST);
        String path = required(parameters, PATH_PARAMETER);
        if (!path.startsWith("/")) {
            throw invalid("parameter path must begin with a slash");
        }
        OptionalInt key = parameters.containsKey(KEY)
                ? OptionalInt.of(Math.toIntExact(KEY_NUMBER.parse(required(parameters, KEY))))
                : OptionalInt.empty();
        return explainer.explain(host, path, key);
    }

    private static Map<String, List<String>> parse(String target) {
        try {
            Map<String, List<String>> parameters = new QueryStringDecoder(target).parameters();
            for (String name : parameters.keySet()) {
                if (!PARAMETERS.contains(name)) {
                    throw invalid("unknown parameter; use host, path and key");
                }
            }
            return parameters;
        } catch (IllegalArgumentException e) {
            throw new SiskindykeException(ErrorCode.INVALID_REQUEST, "the query is malformed", e);
        }
    }

    private static String required(Map<String, List<String>> parameters, String name) {
        List<String> values = parameters.getOrDefault(name, List.of());
        if (values.size() != 1 || values.get(0).isEmpty()) {
            throw invalid("parameter " + name + " must be given once and not be empty");
        }
        return values.get(0);
    }

    private static SiskindykeException invalid(String message) {
        return new SiskindykeException(ErrorCode.INVALID_REQUEST, message);
    }
}
