package org.siskindyke.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.input.NumberField;
import org.siskindyke.kernel.table.TableEra;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.call.Headers;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.PooledHttpClient;

/** Client of the platform's store. Safe for use by several threads. */
final class StoreClient {
    static final int OK = 200;
    static final int CONDITION_FAILED = 412;
    static final int HISTORY_GONE = 410;
    /** Timeout of a call; a slow store needs tens of times its usual few milliseconds. */
    static final long CALL_TIMEOUT_MILLIS = 1_500;
    /** How much later than its wait a watch is answered at most. */
    private static final long WATCH_GRACE_MILLIS = 1_000;

    /** The era before the first answer. */
    static final long UNKNOWN_ERA = -1;

    /** Version in a condition that a row does not exist. */
    static final long NO_ROW = 0;

    /** Header field with the number of times that the store has been restored from a copy, plus a start value. */
    private static final String ERA = "Store-Era";

    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final byte[] NO_BODY = {};

    private static final NumberField VERSION =
            new NumberField(ErrorCode.TABLE_UNAVAILABLE, "ver", 0, TableEra.MAX_VERSION);
    private static final NumberField ERA_NUMBER =
            new NumberField(ErrorCode.TABLE_UNAVAILABLE, ERA, 0, TableEra.MAX_ERA);
    /** Number of keys of unreadable rows at which all are dropped, to bound memory; they are then logged again. */
    private static final int MAX_IGNORED_ROWS = 1_000;

    private final PooledHttpClient httpClient;
    private final EventLog log;
    private final Set<String> ignoredRows = new HashSet<>();
    private final LongAdder transactions = new LongAdder();
    private final LongAdder reads = new LongAdder();
    private final LongAdder watches = new LongAdder();
    private final LongAdder failures = new LongAdder();
    private final AtomicLong era = new AtomicLong(UNKNOWN_ERA);
    private volatile String lastFailure;

    StoreClient(PooledHttpClient httpClient, EventLog log) {
        this.httpClient = httpClient;
        this.log = log;
    }

    /**
     * An answer of the store.
     *
     * @param status 200, or another status that the Javadoc of the call lists
     * @param body the JSON body
     * @param version the newest version of the store's rows; 0 where the answer names none
     * @param era the era of the store's rows and versions; 0 where the store names none
     */
    record Answer(int status, JsonNode body, long version, long era) {}

    /** Returns the rows of an answer. One that cannot be read is left out and logged, the first time it is seen. */
    List<StoreRow> rows(Answer answer) {
        List<StoreRow> rows = new ArrayList<>();
        for (JsonNode encoded : answer.body().path("rows")) {
            try {
                rows.add(StoreRow.read(encoded));
            } catch (SiskindykeException e) {
                logIgnored(encoded.path("key").asText(), e);
            }
        }
        return rows;
    }

    private synchronized void logIgnored(String key, SiskindykeException cause) {
        if (ignoredRows.size() >= MAX_IGNORED_ROWS) {
            ignoredRows.clear();
        }
        if (ignoredRows.add(key)) {
            log.event("store-row-ignored", "row", key, "cause", cause.getMessage());
        }
    }

    /** Returns the latest era that an answer has named; {@link #UNKNOWN_ERA} before the first answer. */
    long era() {
        return era.get();
    }

    /** Logs how many calls were made since the start, because each is billed, and how many of them failed. */
    void logCalls() {
        log.event(
                "store-calls",
                "transactions",
                transactions.sum(),
                "reads",
                reads.sum(),
                "watches",
                watches.sum(),
                "failed",
                failures.sum(),
                "lastFailure",
                lastFailure);
    }

    private CompletionStage<Answer> countFailures(CompletionStage<Answer> answer) {
        return answer.whenComplete((ignored, failure) -> {
            if (failure != null) {
                failures.increment();
                lastFailure = failure.getMessage();
            }
        });
    }

    /**
     * Sends a transaction.
     *
     * @return the answer, with status 200, or 412 where a condition did not hold; fails with {@code TABLE_UNAVAILABLE}
     *     for any other status or no answer
     */
    CompletionStage<Answer> transact(JsonNode transaction) {
        transactions.increment();
        byte[] body = transaction.toString().getBytes(StandardCharsets.UTF_8);
        return countFailures(httpClient
                .call("POST", "/rows-tx", body, CALL_TIMEOUT_MILLIS)
                .thenCompose(response -> decode(response, CONDITION_FAILED)));
    }

    /**
     * Reads rows of a table in the order of their keys.
     *
     * @param table the table
     * @param from the first key; null to start at the first row
     * @param to the first key after the range, sent as the parameter {@code target}; null to read to the last row
     * @param limit at most this many rows are returned
     * @return the answer, with status 200; fails with {@code TABLE_UNAVAILABLE} for any other status or no answer
     */
    CompletionStage<Answer> readRows(String table, String from, String to, int limit) {
        reads.increment();
        String target = "/rows-get?table=" + table + "&part=&limit=" + limit;
        target += from == null ? "" : "&from=" + urlEncode(from);
        target += to == null ? "" : "&target=" + urlEncode(to);
        return countFailures(
                httpClient.call("GET", target, NO_BODY, CALL_TIMEOUT_MILLIS).thenCompose(r -> decode(r, OK)));
    }

    /**
     * Reads the present state of a row by a transaction without writes: unlike {@link #readRows}, it never lags.
     *
     * @param table the table
     * @param key the key of the row
     * @return the row, or empty if it does not exist; fails with {@code TABLE_UNAVAILABLE} for no answer and where the
     *     answer is of an earlier or later era than the key, or does not contain the row
     */
    CompletionStage<Optional<StoreRow>> readCurrent(String table, EraKey key) {
        return check(table, key.text(), NO_ROW)
                .thenCompose(answer -> requireEra(answer, key.era()))
                .thenCompose(answer -> currentRow(answer, key.text()));
    }

    /** Fails with {@code TABLE_UNAVAILABLE} where an answer is of another era than a call was made for. */
    static CompletionStage<Answer> requireEra(Answer answer, long era) {
        return answer.era() == era
                ? CompletableFuture.completedStage(answer)
                : CompletableFuture.failedStage(new SiskindykeException(
                        ErrorCode.TABLE_UNAVAILABLE, "store is of era " + answer.era() + ", not " + era));
    }

    private CompletionStage<Optional<StoreRow>> currentRow(Answer answer, String key) {
        if (answer.status() == OK) {
            return CompletableFuture.completedStage(Optional.empty());
        }
        for (StoreRow row : rows(answer)) {
            if (row.key().equals(key)) {
                return CompletableFuture.completedStage(Optional.of(row));
            }
        }
        return CompletableFuture.failedStage(
                new SiskindykeException(ErrorCode.TABLE_UNAVAILABLE, "store names no row of a failed condition"));
    }

    /**
     * Checks by a transaction without writes whether a row still has a version.
     *
     * @return the answer, with status 200 if it has, or 412 and its present state if not; fails with
     *     {@code TABLE_UNAVAILABLE} for any other status or no answer
     */
    CompletionStage<Answer> check(String table, String key, long version) {
        return check(table, Map.of(key, version));
    }

    /** Checks as above whether several rows, by their keys, still have a version each; 0 stands for no row. */
    CompletionStage<Answer> check(String table, Map<String, Long> versions) {
        ObjectNode transaction = MAPPER.createObjectNode();
        ArrayNode conditions = transaction.putArray("precondition");
        versions.forEach(
                (key, version) -> putRowKey(conditions.addObject(), table, key).put("ver", version));
        transaction.putArray("writes");
        transaction.putArray("remove");
        return transact(transaction);
    }

    /** Adds the fields that name a row of a transaction to {@code node}, and returns it. */
    static ObjectNode putRowKey(ObjectNode node, String table, String key) {
        return node.put("table", table).put("part", "").put("key", key);
    }

    /**
     * Waits for changes of a table after a version.
     *
     * @param table the table
     * @param after the version
     * @param waitMillis how long the store waits for a change. A lost answer is noticed only after this time and {@link
     *     #WATCH_GRACE_MILLIS}, since nothing else distinguishes an unchanged table from a silent connection
     * @return the answer, with status 200, or 410 where the store no longer has the history since the version; fails
     *     with {@code TABLE_UNAVAILABLE} for any other status or no answer
     */
    CompletionStage<Answer> watch(String table, long after, long waitMillis) {
        watches.increment();
        String target = "/rows-feed?table=" + table + "&after=" + after + "&wait_ms=" + waitMillis;
        return countFailures(httpClient
                .call("GET", target, NO_BODY, waitMillis + WATCH_GRACE_MILLIS)
                .thenCompose(r -> decode(r, HISTORY_GONE)));
    }

    static String encodeValue(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private CompletionStage<Answer> decode(HttpExchange.Response response, int alsoAllowed) {
        if (response.status() != OK && response.status() != alsoAllowed) {
            return CompletableFuture.failedStage(new SiskindykeException(
                    ErrorCode.TABLE_UNAVAILABLE, "store responded with status " + response.status()));
        }
        try {
            long answerEra = era(response);
            era.accumulateAndGet(answerEra, Math::max);
            JsonNode body = response.body().length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(response.body());
            long version = VERSION.readOr(body.path("ver"), 0);
            return CompletableFuture.completedStage(new Answer(response.status(), body, version, answerEra));
        } catch (IOException e) {
            return CompletableFuture.failedStage(
                    new SiskindykeException(ErrorCode.TABLE_UNAVAILABLE, "store response is not JSON", e));
        } catch (SiskindykeException e) {
            return CompletableFuture.failedStage(e);
        }
    }

    /** Returns the era that a response names; 0 where it names none. */
    private static long era(HttpExchange.Response response) {
        String text = Headers.firstIgnoringCase(response.headers(), ERA);
        return text == null ? 0 : ERA_NUMBER.parse(text);
    }
}
