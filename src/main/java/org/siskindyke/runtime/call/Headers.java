package org.siskindyke.runtime.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.servicetalk.http.api.HttpHeaders;

/** Names of the header fields that the router reads and writes, and which fields it passes on. */
public final class Headers {
    /** Identifies a call; set by the first router and echoed in answers. */
    public static final String CALL_ID = "siskindyke-call-id";

    /** Says whether the request may have run; in answers. */
    public static final String VERDICT = "siskindyke-verdict";

    /** The cause of a refusal; in answers. */
    public static final String CODE = "siskindyke-code";

    /** The slice of the call's key; towards backend servers. */
    public static final String SLICE = "siskindyke-slice";

    /** The key of the call; towards backend servers. */
    public static final String KEY = "siskindyke-key";

    /** The generation of the slice's ownership; towards backend servers. */
    public static final String GENERATION = "siskindyke-generation";

    /** The member that owns the slice; towards backend servers. */
    public static final String MEMBER = "siskindyke-member";

    /** End of the owner's lease, milliseconds of the host's monotonic clock; towards backend servers. */
    public static final String GRANT_END = "siskindyke-grant-end-millis";

    /** Time left for the call in milliseconds; towards backend servers. */
    public static final String DEADLINE = "siskindyke-deadline-millis";

    /** Set to {@code true} by a backend server that refused a call without running it. */
    public static final String NOT_RUN = "siskindyke-not-run";

    /** Lets a caller shorten the time left for a call, in milliseconds. */
    public static final String TIMEOUT = "siskindyke-timeout-millis";

    /** Set to {@code true} by a caller that sends a call with an Idempotency-Key for the first time. */
    public static final String FIRST_ATTEMPT = "siskindyke-first-attempt";

    /** Identifies a call across resends. */
    public static final String IDEMPOTENCY_KEY = "idempotency-key";

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

    /** Copies the fields that are passed on from hop to hop. */
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

    /** Returns the fields that are passed on from hop to hop, spelled as they came. */
    public static List<Header> endToEnd(List<Header> headers) {
        List<Header> copied = new ArrayList<>(headers.size());
        for (Header header : headers) {
            if (!HOP_BY_HOP.contains(header.name().toLowerCase(Locale.ROOT))) {
                copied.add(header);
            }
        }
        return copied;
    }

    /** Returns the first value of a field whatever the case of its name, or null. */
    public static String firstIgnoringCase(List<Header> headers, String name) {
        for (Header header : headers) {
            if (header.name().equalsIgnoreCase(name)) {
                return header.value();
            }
        }
        return null;
    }

    /** Returns the first value of a field, or null. */
    public static String first(List<Header> headers, String name) {
        for (Header header : headers) {
            if (header.name().equals(name)) {
                return header.value();
            }
        }
        return null;
    }
}
