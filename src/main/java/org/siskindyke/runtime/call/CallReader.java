package org.siskindyke.runtime.call;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.concurrent.ThreadLocalRandom;

import io.servicetalk.http.api.HttpRequest;
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
import org.siskindyke.runtime.peer.Bytes;

/** Converts callers' HTTP requests to calls. */
public final class CallReader {
    /** Maximum accepted body size, in bytes. */
    public static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final MonotonicClock clock;
    private final Map<KeySource, KeyExtractor> extractors = new EnumMap<>(KeySource.class);

    /** Creates a reader that uses the key extractors found by {@link ServiceLoader}. */
    public CallReader(MonotonicClock clock) {
        this.clock = clock;
        ServiceLoader.load(KeyExtractor.class).forEach(e -> extractors.put(e.source(), e));
    }

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
     * @param request the request, with its whole body
     * @param caller who sent the request
     * @param view the replicated state, whose documents decide the service
     * @return the call, or why it is refused; never null
     */
    public Result read(HttpRequest request, ClientAccount caller, ClusterView view) {
        String path = request.rawPath();
        AcceptedDocument accepted =
                view.documents().match(hostOf(request), path).orElse(null);
        if (accepted == null) {
            return new Result(null, Refusal.NO_SERVICE, null);
        }
        ServiceDocument document = accepted.document();
        if (request.payloadBody().readableBytes() > MAX_BODY_BYTES) {
            return new Result(null, Refusal.BODY_TOO_LARGE, document);
        }
        String key = document.keys().divided() ? keyOf(request, document.keys()) : null;
        if (document.keys().divided() && (key == null || key.isEmpty())) {
            return new Result(null, Refusal.NO_KEY, document);
        }
        return new Result(toCall(request, caller, document, key, path), null, document);
    }

    private Call toCall(HttpRequest request, ClientAccount caller, ServiceDocument document, String key, String path) {
        SliceRef slice = key == null
                ? null
                : new SliceRef(
                        document.service(), KeyHash.sliceOf(key, document.keys().slices()));
        String method = request.method().name();
        List<Header> headers = Headers.endToEnd(request.headers());
        return new Call(
                newCallId(),
                caller,
                document.service(),
                key,
                slice,
                method,
                request.requestTarget(),
                headers,
                Bytes.of(request.payloadBody()),
                clock.nowMillis() + timeoutMillis(headers, document),
                document.calls().isIdempotent(method, path),
                SchedulingAttributes.DEFAULT);
    }

    private String keyOf(HttpRequest request, KeyRule rule) {
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

    private static String hostOf(HttpRequest request) {
        CharSequence host = request.headers().get("host");
        if (host == null) {
            return null;
        }
        String text = host.toString();
        int port = text.lastIndexOf(':');
        return port < 0 ? text : text.substring(0, port);
    }

    private static String newCallId() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    }

    private record RequestParts(HttpRequest request) implements KeyExtractor.CallParts {
        @Override
        public String path() {
            return request.rawPath();
        }

        @Override
        public String header(String name) {
            CharSequence value = request.headers().get(name);
            return value == null ? null : value.toString();
        }

        @Override
        public String queryParameter(String name) {
            return request.queryParameter(name);
        }
    }
}
