package org.siskindyke.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.PooledHttpClient;

/** Speaks the protocol of the platform's store. */
final class StoreClient {
    static final int OK = 200;
    static final int CONDITION_FAILED = 412;
    static final int HISTORY_GONE = 410;
    /** How long a call may take; a slow store takes tens of times its usual few milliseconds. */
    static final long CALL_TIMEOUT_MILLIS = 1_500;

    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final byte[] NO_BODY = {};

    private final PooledHttpClient httpClient;
    private final LongAdder transactions = new LongAdder();
    private final LongAdder reads = new LongAdder();
    private final LongAdder watches = new LongAdder();
    private final LongAdder failures = new LongAdder();
    private volatile String lastFailure;

    StoreClient(PooledHttpClient httpClient) {
        this.httpClient = httpClient;
    }

    /**
     * An answer of the store.
     *
     * @param status 200, or one that the call names
     * @param body the JSON body
     */
    record Answer(int status, JsonNode body) {}

    /** Logs the calls made so far, since each is paid for, and how many of them failed. */
    void logCalls(EventLog log) {
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
        return answer.whenComplete((whole, failure) -> {
            if (failure != null) {
                failures.increment();
                lastFailure = failure.getMessage();
            }
        });
    }

    /** Sends a transaction; answers with status 200 or 412. */
    CompletionStage<Answer> transact(JsonNode transaction) {
        transactions.increment();
        byte[] body = transaction.toString().getBytes(StandardCharsets.UTF_8);
        return countFailures(httpClient.call("POST", "/rows-tx", body, CALL_TIMEOUT_MILLIS)
                .thenCompose(response -> decode(response, CONDITION_FAILED)));
    }

    /** Reads rows of a table, from a key on; {@code to} is the first key left out, null for none. */
    CompletionStage<Answer> readRows(String table, String from, String to, int limit) {
        reads.increment();
        String target = "/rows-get?table=" + table + "&part=&limit=" + limit;
        target += from == null ? "" : "&from=" + urlEncode(from);
        target += to == null ? "" : "&target=" + urlEncode(to);
        return countFailures(httpClient.call("GET", target, NO_BODY, CALL_TIMEOUT_MILLIS).thenCompose(r -> decode(r, OK)));
    }

    /**
     * Waits for changes of a table after a version; answers with status 200, or 410 where the history is gone.
     *
     * @param table the table
     * @param after the version
     * @param waitMillis how long to wait for a change; an answer that was lost is noticed after it, since nothing else
     *     tells a quiet table from a silent connection
     */
    CompletionStage<Answer> watch(String table, long after, long waitMillis) {
        watches.increment();
        String target = "/rows-feed?table=" + table + "&after=" + after + "&wait_ms=" + waitMillis;
        return countFailures(httpClient.call("GET", target, NO_BODY, waitMillis + CALL_TIMEOUT_MILLIS)
                .thenCompose(r -> decode(r, HISTORY_GONE)));
    }

    /** Returns the text of a row's value. */
    static String decodeValue(JsonNode row) {
        byte[] bytes = Base64.getDecoder().decode(row.path("value").asText());
        return new String(bytes, StandardCharsets.UTF_8);
    }

    static String encodeValue(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private static CompletionStage<Answer> decode(HttpExchange.Response response, int alsoAllowed) {
        if (response.status() != OK && response.status() != alsoAllowed) {
            return CompletableFuture.failedStage(
                    new SiskindykeException(ErrorCode.TABLE_UNAVAILABLE, "store answers " + response.status()));
        }
        try {
            JsonNode body = response.body().length == 0 ? MAPPER.createObjectNode() : MAPPER.readTree(response.body());
            return CompletableFuture.completedStage(new Answer(response.status(), body));
        } catch (IOException e) {
            return CompletableFuture.failedStage(
                    new SiskindykeException(ErrorCode.TABLE_UNAVAILABLE, "store answers unreadably", e));
        }
    }
}
