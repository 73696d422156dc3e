package org.siskindyke.runtime.call;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.handler.codec.http.QueryStringDecoder;
import org.siskindyke.kernel.call.KeyExtractor;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.SchedulingAttributes;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.document.DocumentCatalog.AcceptedDocument;
import org.siskindyke.kernel.document.KeyRule;
import org.siskindyke.kernel.document.KeyRule.KeySource;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.ownership.KeyHash;
import org.siskindyke.kernel.time.MonotonicClock;

/** Converts callers' HTTP requests to calls. */
public final class CallReader {
    /** Maximum accepted body size, in bytes. */
    public static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private static final String SCHEME_END = "://";

    private final MonotonicClock clock;
    private final Map<KeySource, KeyExtractor> extractors = new EnumMap<>(KeySource.class);

    /** Creates a reader that uses the key extractors found by {@link ServiceLoader}. */
    public CallReader(MonotonicClock clock) {
        this.clock = clock;
        ServiceLoader.load(KeyExtractor.class).forEach(e -> extractors.put(e.source(), e));
    }

    /**
     * A request of a caller.
     *
     * @param method the method
     * @param target the request target: a path and query, or an absolute URI
     * @param headers the header fields in order
     * @param body the whole body
     */
    public record Request(String method, String target, List<Header> headers, byte[] body) {}

    /**
     * The result of reading a request.
     *
     * @param call the call; null if the request is refused
     * @param refusal why the request is refused; null if it is not
     * @param document the service's document; null if no document matches the request
     */
    public record Result(Call call, Refusal refusal, ServiceDocument document) {}

    /**
     * Reads a request.
     *
     * @param request the request
     * @param caller who sent the request
     * @param view the replicated state, whose documents decide the service
     * @return the call, or why it is refused; never null
     */
    public Result read(Request request, ClientAccount caller, ClusterView view) {
        String path = pathOf(request.target());
        AcceptedDocument accepted =
                view.documents().match(hostOf(request), path).orElse(null);
        if (accepted == null) {
            return new Result(null, Refusal.NO_SERVICE, null);
        }
        ServiceDocument document = accepted.document();
        if (request.body().length > MAX_BODY_BYTES) {
            return new Result(null, Refusal.BODY_TOO_LARGE, document);
        }
        String key = document.keys().divided() ? keyOf(request, document.keys()) : null;
        if (document.keys().divided() && (key == null || key.isEmpty())) {
            return new Result(null, Refusal.NO_KEY, document);
        }
        return new Result(toCall(request, caller, document, key, path), null, document);
    }

    private Call toCall(Request request, ClientAccount caller, ServiceDocument document, String key, String path) {
        SliceRef slice = key == null
                ? null
                : new SliceRef(
                        document.service(), KeyHash.sliceOf(key, document.keys().slices()));
        List<Header> headers = Headers.endToEnd(withLowerCaseNames(request.headers()));
        return new Call(
                newCallId(),
                caller,
                document.service(),
                key,
                slice,
                request.method(),
                request.target(),
                headers,
                request.body(),
                clock.nowMillis() + timeoutMillis(headers, document),
                document.calls().isIdempotent(request.method(), path),
                SchedulingAttributes.DEFAULT);
    }

    private String keyOf(Request request, KeyRule rule) {
        return extractors.get(rule.source()).extract(rule, new RequestParts(request));
    }

    private static long timeoutMillis(List<Header> headers, ServiceDocument document) {
        long limitMillis = document.calls().timeoutMillis();
        String requested = Headers.first(headers, Headers.TIMEOUT);
        if (requested == null || !requested.matches("[0-9]{1,9}")) {
            return limitMillis;
        }
        return Math.min(limitMillis, Long.parseLong(requested));
    }

    private static List<Header> withLowerCaseNames(List<Header> headers) {
        return headers.stream()
                .map(header -> new Header(header.name().toLowerCase(Locale.ROOT), header.value()))
                .toList();
    }

    /** Returns the path of a request target, not decoded; of an absolute URI, the path after its authority. */
    private static String pathOf(String target) {
        int scheme = target.indexOf(SCHEME_END);
        int start = 0;
        if (!target.startsWith("/") && scheme >= 0) {
            int slash = target.indexOf('/', scheme + SCHEME_END.length());
            start = slash < 0 ? target.length() : slash;
        }
        return target.substring(start).split("[?#]", 2)[0];
    }

    private static String hostOf(Request request) {
        String host = Headers.firstIgnoringCase(request.headers(), "host");
        if (host == null) {
            return null;
        }
        int port = host.lastIndexOf(':');
        return port < 0 ? host : host.substring(0, port);
    }

    private static String newCallId() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    }

    private record RequestParts(Request request) implements KeyExtractor.CallParts {
        @Override
        public String path() {
            return pathOf(request.target());
        }

        @Override
        public String header(String name) {
            return Headers.firstIgnoringCase(request.headers(), name);
        }

        @Override
        public String queryParameter(String name) {
            try {
                List<String> values =
                        new QueryStringDecoder(request.target()).parameters().get(name);
                return values == null ? null : values.get(0);
            } catch (IllegalArgumentException e) {
                // The query has an invalid escape sequence, so it names no key.
                return null;
            }
        }
    }
}
