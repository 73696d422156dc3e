package org.siskindyke.runtime.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.servicetalk.http.api.HttpHeaders;

/** Names of the header fields that the router reads and writes, and a filter for those that it passes on. */
public final class Headers {
    /** Id of a call; set by the first router and echoed in responses. */
    public static final String CALL_ID = "siskindyke-call-id";

    /** Whether the request may have run, as the name of a verdict; in responses. */
    public static final String VERDICT = "siskindyke-verdict";

    /** The cause of a refusal, as the name of a refusal code; in responses. */
    public static final String CODE = "siskindyke-code";

    /** Index of the slice of the call's key; sent to backend servers. */
    public static final String SLICE = "siskindyke-slice";

    /** The key of the call; sent to backend servers. */
    public static final String KEY = "siskindyke-key";

    /** The generation of the slice's ownership; sent to backend servers. */
    public static final String GENERATION = "siskindyke-generation";

    /** The member that sends the call; in a divided service, the owner of the slice. Sent to backend servers. */
    public static final String MEMBER = "siskindyke-member";

    /** End of that member's lease, in milliseconds of the host's monotonic clock; sent to backend servers. */
    public static final String GRANT_END = "siskindyke-grant-end-millis";

    /** Time until the call's deadline, in milliseconds; sent to backend servers. */
    public static final String DEADLINE = "siskindyke-deadline-millis";

    /** Set to {@code true} by a backend server that refused a call without running it. */
    public static final String NOT_RUN = "siskindyke-not-run";

    /** Timeout of a call in milliseconds, set by a caller; can only shorten the service's timeout. */
    public static final String TIMEOUT = "siskindyke-timeout-millis";

    /** Set to {@code true} by a caller on the first attempt of a call with an Idempotency-Key. */
    public static final String FIRST_ATTEMPT = "siskindyke-first-attempt";

    /** Identifies a call across the caller's retries. */
    public static final String IDEMPOTENCY_KEY = "idempotency-key";

    /** Lower-case names of the fields that are not passed on: the hop-by-hop ones and content-length. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "http2-settings");

    private Headers() {}

    /** Returns the end-to-end fields, without hop-by-hop ones; their names are in lower case. */
    public static List<Header> endToEnd(HttpHeaders headers) {
        List<Header> copied = new ArrayList<>(headers.size());
        for (Map.Entry<CharSequence, CharSequence> field : headers) {
            String name = field.getKey().toString().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name)) {
                copied.add(new Header(name, field.getValue().toString()));
            }
        }
        return copied;
    }

    /** Returns the end-to-end fields, without hop-by-hop ones; the case of their names is unchanged. */
    public static List<Header> endToEnd(List<Header> headers) {
        List<Header> copied = new ArrayList<>(headers.size());
        for (Header header : headers) {
            if (!HOP_BY_HOP.contains(header.name().toLowerCase(Locale.ROOT))) {
                copied.add(header);
            }
        }
        return copied;
    }

    /** Returns the first value of a field, ignoring the case of its name; null if there is none. */
    public static String firstIgnoringCase(List<Header> headers, String name) {
        for (Header header : headers) {
            if (header.name().equalsIgnoreCase(name)) {
                return header.value();
            }
        }
        return null;
    }

    /** Returns the first value of a field whose name has exactly this case; null if there is none. */
    public static String first(List<Header> headers, String name) {
        for (Header header : headers) {
            if (header.name().equals(name)) {
                return header.value();
            }
        }
        return null;
    }
}
