package org.siskindyke.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.siskindyke.kernel.balance.ServerLoadTracker;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.input.NumberField;
import org.siskindyke.kernel.ownership.KeyRange;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Headers;
import org.siskindyke.runtime.traffic.AnnouncedLimit;
import org.siskindyke.runtime.traffic.CallDialect;

/** Reads and writes the header fields of the users' platform. */
final class PlatformDialect implements CallDialect {
    private static final String REQUEST_ID = "X-Siskindyke-Request-Id";
    private static final String TIMEOUT_MILLIS = "X-Siskindyke-Timeout-Ms";
    private static final String KEY = "X-Siskindyke-Shard-Key";
    private static final String CALLER_SERVICE = "X-Siskindyke-Caller-Service";
    private static final String EXPECTED_TARGET = "X-Siskindyke-Expected-Instance";
    private static final String NOT_RUN = "X-Siskindyke-Not-Executed";
    private static final String SIGNATURE = "X-Siskindyke-Response-Signature";
    /** Calls per second that a backend server accepts from all callers together, a decimal number. */
    private static final String LIMIT = "Server-Limit";

    /**
     * Load of a backend server, separated by commas: requests running, requests waiting, slots and, where present, how
     * long work takes on its host, in percent of the usual.
     */
    private static final String SERVER_LOAD = "X-Siskindyke-Server-Load";

    private static final int MIN_LOAD_PARTS = 3;
    private static final int MAX_LOAD_PARTS = 4;
    private static final String LEAVING = "Server-Leaving";
    private static final String LEAVING_VALUE = "1";
    private static final Set<String> NOT_FORWARDED = Set.of(
            REQUEST_ID.toLowerCase(Locale.ROOT),
            TIMEOUT_MILLIS.toLowerCase(Locale.ROOT),
            KEY.toLowerCase(Locale.ROOT),
            CALLER_SERVICE.toLowerCase(Locale.ROOT),
            EXPECTED_TARGET.toLowerCase(Locale.ROOT),
            // The router answers "Expect: 100-continue" itself.
            "expect");
    private static final NumberField TIMEOUT = NumberField.ofMessage(TIMEOUT_MILLIS, 0, NumberField.MAX_EXACT);
    private static final NumberField KEY_NUMBER = NumberField.ofMessage(KEY, 0, KeyRange.KEY_COUNT - 1);
    private static final NumberField LIMIT_NUMBER = NumberField.ofMessage(LIMIT, 0, NumberField.MAX_EXACT);
    private static final NumberField LOAD_COUNT = NumberField.ofMessage(SERVER_LOAD, 0, 1_000_000);
    private static final NumberField LOAD_PERCENT = NumberField.ofMessage(SERVER_LOAD, 1, 100_000);
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MAX_SUCCESS_STATUS = 299;

    @Override
    public CallerFields read(List<Header> headers) {
        // A field that is refused counts as missing.
        return new CallerFields(
                Headers.firstIgnoringCase(headers, REQUEST_ID),
                TIMEOUT.tryParse(Headers.firstIgnoringCase(headers, TIMEOUT_MILLIS)),
                key(Headers.firstIgnoringCase(headers, KEY)));
    }

    private static OptionalInt key(String text) {
        OptionalLong key = KEY_NUMBER.tryParse(text);
        return key.isPresent() ? OptionalInt.of(Math.toIntExact(key.getAsLong())) : OptionalInt.empty();
    }

    @Override
    public List<Header> forwardedHeaders(List<Header> headers, Optional<ServiceName> callerService) {
        List<Header> forwarded = without(headers, NOT_FORWARDED);
        callerService.ifPresent(service -> forwarded.add(new Header(CALLER_SERVICE, service.value())));
        return forwarded;
    }

    private static List<Header> without(List<Header> headers, Set<String> lowerCaseNames) {
        List<Header> kept = new ArrayList<>(headers.size() + 1);
        for (Header header : headers) {
            if (!lowerCaseNames.contains(header.name().toLowerCase(Locale.ROOT))) {
                kept.add(header);
            }
        }
        return kept;
    }

    @Override
    public List<Header> backendHeaders(TargetName target, Call call, long remainingMillis) {
        List<Header> fields = new ArrayList<>();
        fields.add(requestIdField(call.id()));
        fields.add(new Header(EXPECTED_TARGET, target.value()));
        fields.add(new Header(TIMEOUT_MILLIS, Long.toString(Math.max(1, remainingMillis))));
        if (call.key() != null) {
            fields.add(new Header(KEY, call.key()));
        }
        return fields;
    }

    @Override
    public List<Header> returnedHeaders(List<Header> headers) {
        return without(headers, Set.of(REQUEST_ID.toLowerCase(Locale.ROOT)));
    }

    @Override
    public boolean isNotRun(int status, List<Header> headers) {
        return status == MISDIRECTED_REQUEST || Headers.firstIgnoringCase(headers, NOT_RUN) != null;
    }

    @Override
    public boolean isGenuine(int status, List<Header> headers) {
        boolean success = status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
        return !success || Headers.firstIgnoringCase(headers, SIGNATURE) != null;
    }

    @Override
    public AnnouncedLimit limit(List<Header> headers) {
        AnnouncedLimit limit = AnnouncedLimit.NONE;
        for (Header header : headers) {
            if (header.name().equalsIgnoreCase(LIMIT)) {
                limit = limit.stricter(parseLimit(header.value()));
            }
        }
        return limit;
    }

    private static AnnouncedLimit parseLimit(String text) {
        // The dispatcher logs malformed limits.
        return AnnouncedLimit.of(LIMIT_NUMBER.tryParseDecimal(text));
    }

    @Override
    public ServerLoadTracker.Announcement serverLoad(List<Header> headers) {
        String text = Headers.firstIgnoringCase(headers, SERVER_LOAD);
        String[] parts = text == null ? new String[0] : text.split(",", MAX_LOAD_PARTS + 1);
        if (parts.length < MIN_LOAD_PARTS || parts.length > MAX_LOAD_PARTS) {
            return null;
        }
        OptionalLong running = LOAD_COUNT.tryParse(parts[0]);
        OptionalLong waiting = LOAD_COUNT.tryParse(parts[1]);
        OptionalLong slots = LOAD_COUNT.tryParse(parts[2]);
        boolean hasPercent = parts.length == MAX_LOAD_PARTS;
        double percent = hasPercent ? LOAD_PERCENT.tryParseDecimal(parts[MIN_LOAD_PARTS]) : Double.NaN;
        if (running.isEmpty() || waiting.isEmpty() || slots.isEmpty() || hasPercent && Double.isNaN(percent)) {
            return null;
        }
        return new ServerLoadTracker.Announcement(
                Math.toIntExact(running.getAsLong()),
                Math.toIntExact(waiting.getAsLong()),
                Math.toIntExact(slots.getAsLong()),
                percent);
    }

    @Override
    public boolean isLeaving(List<Header> headers) {
        return LEAVING_VALUE.equals(Headers.firstIgnoringCase(headers, LEAVING));
    }

    @Override
    public String answeredRequestId(List<Header> headers) {
        return Headers.firstIgnoringCase(headers, REQUEST_ID);
    }

    /**
     * Returns the part of an id before its last full stop: a call's id is the id of the request that makes the call, a
     * full stop and a suffix. This form was observed on the platform; docs/ asks the users to confirm it.
     */
    @Override
    public Optional<String> parentRequestId(String requestId) {
        int end = requestId.lastIndexOf('.');
        return end <= 0 ? Optional.empty() : Optional.of(requestId.substring(0, end));
    }

    @Override
    public Header requestIdField(String requestId) {
        return new Header(REQUEST_ID, requestId);
    }
}
