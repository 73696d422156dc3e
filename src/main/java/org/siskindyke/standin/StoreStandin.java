package org.siskindyke.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.siskindyke.kernel.route.CallerLimits;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.traffic.Cancellable;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.HttpListener;
import org.siskindyke.runtime.traffic.TrafficLoop;

/**
 * Stand-in for the store of the users' platform: rows with versions, conditional transactions and watches, with
 * switchable faults. Requests are handled on the traffic loop; the methods that set faults, {@code put} and
 * {@code calls} may be called on any thread.
 */
public final class StoreStandin {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int CONDITION_FAILED = 412;
    private static final int SERVICE_UNAVAILABLE = 503;
    /** Delay of a slow store; the platform's is then tens of times slower than its usual few milliseconds. */
    private static final long SLOW_DELAY_MILLIS = 250;
    /** Delay before a late write takes effect; one to six seconds on the users' platform. */
    private static final long LATE_WRITE_DELAY_MILLIS = 1_000;

    /** Maximum number of conditions, writes and removals of a transaction together, as on the users' platform. */
    private static final int MAX_TRANSACTION_ENTRIES = 100;

    /** How long watches hear nothing before the history is dropped, as on the users' platform. */
    private static final long UNHEARD_MILLIS = 1_000;
    /** How far reads are behind then, as on the users' platform. */
    private static final long STALE_MILLIS = 3_000;
    /** Pause between two copies. */
    private static final long COPY_INTERVAL_MILLIS = 1_000;
    /** Copies kept; the oldest is about as many seconds old. */
    private static final int MAX_COPIES = 6;
    /** States kept of each row. */
    private static final int MAX_ROW_STATES = 50;

    private static final String ERA = "Store-Era";
    private static final Header JSON = new Header("Content-Type", "application/json");
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private Map<String, TreeMap<String, RowHistory>> tables = new TreeMap<>();
    /** The values that the operator has written, by table and key. */
    private final Map<List<String>, String> operatorValues = new LinkedHashMap<>();

    /** Copies from which the store can be restored, oldest first. */
    private final Deque<Copy> copies = new ArrayDeque<>();

    private final List<Watch> watches = new ArrayList<>();
    private final Map<InetSocketAddress, Fault> faultByAddress = new ConcurrentHashMap<>();
    /** Other ends of connections on which calls are neither executed nor answered. */
    private final Set<InetSocketAddress> silentConnections = new HashSet<>();

    private final Set<InetSocketAddress> openedConnections = new HashSet<>();
    private volatile int calls;
    private volatile long staleMillis;
    private volatile boolean watchesHearNothing;
    private long version;
    private long era = 1;
    /** Version before which the history has been dropped. */
    private long historyStart;

    /** Faults of the store. */
    public enum Fault {
        /** No fault. */
        NONE,
        /** The store refuses each call with status 503 and executes none. */
        BUSY,
        /** The store neither executes nor answers calls. */
        SILENT,
        /** The store executes and answers each call late. */
        SLOW,
        /** The store executes each call but never answers. */
        ANSWER_LOST,
        /** The store executes each call late, if its conditions hold then, and never answers. */
        LATE_WRITE,
        /** The store has dropped the history that watches need; it answers them with status 410. */
        HISTORY_GONE,
        /** Watches hear nothing for a second; then the history is dropped and reads lag some seconds behind. */
        HISTORY_DROPPED,
        /** Connections that are open when the fault begins go silent for good. */
        CONNECTIONS_SILENT,
        /** The store neither executes nor answers calls; when the fault ends, it is restored from its oldest copy. */
        RESTORED
    }

    private record StoredRow(String value, long version, boolean deleted, long writtenMillis) {}

    /** The states of one row that a stale read may return, oldest first. */
    private static final class RowHistory {
        private final Deque<StoredRow> states = new ArrayDeque<>();

        private RowHistory copy() {
            RowHistory copied = new RowHistory();
            copied.states.addAll(states);
            return copied;
        }

        private void add(StoredRow state) {
            states.add(state);
            while (states.size() > MAX_ROW_STATES) {
                states.remove();
            }
        }

        private StoredRow latest() {
            return states.getLast();
        }

        /** Returns the state at a time; null where the row did not exist yet. */
        private StoredRow at(long millis) {
            StoredRow found = null;
            for (StoredRow state : states) {
                found = state.writtenMillis() <= millis ? state : found;
            }
            return found;
        }
    }

    /** A copy of all rows, from which the store can be restored. */
    private record Copy(Map<String, TreeMap<String, RowHistory>> tables, long version) {}

    /** A watch that has not been answered yet. */
    private record Watch(String table, long after, HttpExchange.Responder responder) {}

    /** Creates a store without rows. */
    public StoreStandin(TrafficLoop traffic, MonotonicClock clock) {
        this.traffic = traffic;
        this.clock = clock;
    }

    /** Starts to listen on an address; with several addresses, a fault can be limited to some of the callers. */
    public void listen(InetSocketAddress address) {
        faultByAddress.put(address, Fault.NONE);
        HttpExchange.Handler handler = (request, responder) -> handle(address, request, responder);
        new HttpListener(traffic, clock, () -> CallerLimits.DEFAULT, handler).listen(address);
    }

    /** Sets the fault for the callers of all addresses listened on so far; {@code NONE} ends it. */
    public void setFault(Fault fault) {
        boolean restored = fault == Fault.NONE && faultByAddress.containsValue(Fault.RESTORED);
        faultByAddress.replaceAll((address, previous) -> fault);
        if (restored) {
            restore();
        }
        setStaleReads(0);
        setWatchesHearNothing(fault == Fault.HISTORY_DROPPED);
        if (fault == Fault.HISTORY_DROPPED) {
            traffic.schedule(this::dropUnheardHistory, UNHEARD_MILLIS);
        } else if (fault == Fault.CONNECTIONS_SILENT) {
            silenceOpenConnections();
        }
    }

    private void dropUnheardHistory() {
        if (faultByAddress.containsValue(Fault.HISTORY_DROPPED)) {
            setStaleReads(STALE_MILLIS);
            dropHistory();
            setWatchesHearNothing(false);
        }
    }

    /** Sets the fault for the callers of one address; {@code NONE} ends it. */
    public void setFault(InetSocketAddress address, Fault fault) {
        faultByAddress.put(address, fault);
    }

    /**
     * Lets reads of rows return the state of some time ago, with the newest version in the answer. Watches and
     * transactions are not affected.
     *
     * @param millis how far reads are behind; 0 ends the fault
     */
    public void setStaleReads(long millis) {
        staleMillis = millis;
    }

    /** Sets whether watches are not told of changes; they are answered without rows once their wait is over. */
    public void setWatchesHearNothing(boolean hearNothing) {
        watchesHearNothing = hearNothing;
    }

    /** Drops the history of all changes so far, and fails all watches that wait. */
    public void dropHistory() {
        traffic.execute(() -> {
            historyStart = version;
            failWatches();
        });
    }

    /** Lets the connections that are open now go silent for good; new ones work. */
    public void silenceOpenConnections() {
        traffic.execute(() -> {
            silentConnections.addAll(openedConnections);
            watches.clear();
        });
    }

    /** Replaces the copy from which {@link #restore} restores the rows. */
    public void saveCopy() {
        traffic.execute(() -> {
            copies.clear();
            copies.add(new Copy(copyOf(tables), version));
        });
    }

    /** Saves a copy each second from now on, and keeps the last {@value #MAX_COPIES}. */
    public void saveCopiesRegularly() {
        traffic.scheduleWithFixedDelay(this::addCopy, COPY_INTERVAL_MILLIS);
    }

    private void addCopy() {
        copies.add(new Copy(copyOf(tables), version));
        if (copies.size() > MAX_COPIES) {
            copies.remove();
        }
    }

    /**
     * Goes back to the oldest copy, or to no rows, as a store does that has lost its rows: its versions are given out
     * again, and the next era begins. Watches that wait fail. What the operator wrote is written again.
     */
    public void restore() {
        traffic.execute(() -> {
            Copy copy = copies.isEmpty() ? new Copy(Map.of(), 0) : copies.peek();
            tables = copyOf(copy.tables());
            version = copy.version();
            era++;
            copies.clear();
            copies.add(copy);
            failWatches();
            operatorValues.forEach((name, value) -> {
                version++;
                write(name.get(0), name.get(1), value, false);
            });
        });
    }

    /** Lets {@link #restore} write nothing again, as while the operator has not noticed the loss yet. */
    public void forgetOperator() {
        traffic.execute(operatorValues::clear);
    }

    private static Map<String, TreeMap<String, RowHistory>> copyOf(Map<String, TreeMap<String, RowHistory>> tables) {
        Map<String, TreeMap<String, RowHistory>> copied = new TreeMap<>();
        tables.forEach((name, rows) -> {
            TreeMap<String, RowHistory> copiedRows = new TreeMap<>();
            rows.forEach((key, history) -> copiedRows.put(key, history.copy()));
            copied.put(name, copiedRows);
        });
        return copied;
    }

    private void failWatches() {
        List<Watch> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(watch -> watch.responder().respond(HttpExchange.Response.empty(SERVICE_UNAVAILABLE)));
    }

    /** Returns the number of calls received so far. */
    public int calls() {
        return calls;
    }

    /** Writes a row as an operator does, regardless of the fault; returns before the row is written. */
    public void put(String table, String key, String value) {
        traffic.execute(() -> {
            version++;
            operatorValues.put(List.of(table, key), StoreText.encode(value));
            write(table, key, StoreText.encode(value), false);
            answerWatches();
        });
    }

    /** Removes a row as an operator does, regardless of the fault; returns before the row is removed. */
    public void remove(String table, String key) {
        traffic.execute(() -> {
            version++;
            operatorValues.remove(List.of(table, key));
            write(table, key, "", true);
            answerWatches();
        });
    }

    private HttpExchange.Response withEra(HttpExchange.Response response) {
        List<Header> headers = new ArrayList<>(response.headers());
        headers.add(new Header(ERA, Long.toString(era)));
        return new HttpExchange.Response(response.status(), headers, response.body());
    }

    private Cancellable handle(InetSocketAddress address, HttpExchange.Request request, HttpExchange.Responder caller) {
        HttpExchange.Responder responder = response -> caller.respond(withEra(response));
        calls++;
        openedConnections.add(request.remote());
        if (silentConnections.contains(request.remote())) {
            return Cancellable.NONE;
        }
        Fault fault = faultByAddress.get(address);
        switch (fault) {
            case SILENT, RESTORED -> {}
            case BUSY -> responder.respond(HttpExchange.Response.empty(SERVICE_UNAVAILABLE));
            case SLOW -> traffic.schedule(() -> serve(request, fault, responder), SLOW_DELAY_MILLIS);
            case ANSWER_LOST -> serve(request, fault, response -> {});
            case LATE_WRITE -> traffic.schedule(() -> serve(request, fault, response -> {}), LATE_WRITE_DELAY_MILLIS);
            default -> serve(request, fault, responder);
        }
        return Cancellable.NONE;
    }

    private void serve(HttpExchange.Request request, Fault fault, HttpExchange.Responder responder) {
        QueryStringDecoder query = new QueryStringDecoder(request.target());
        switch (query.path()) {
            case "/rows-tx" -> transact(request.body(), responder);
            case "/rows-get" -> read(query, responder);
            case "/rows-feed" -> watch(query, fault, responder);
            default -> responder.respond(HttpExchange.Response.empty(NOT_FOUND));
        }
    }

    private void transact(byte[] body, HttpExchange.Responder responder) {
        JsonNode transaction;
        try {
            transaction = MAPPER.readTree(body);
        } catch (IOException e) {
            responder.respond(HttpExchange.Response.empty(SERVICE_UNAVAILABLE));
            return;
        }
        int entries = transaction.path("precondition").size()
                + transaction.path("writes").size()
                + transaction.path("remove").size();
        if (entries > MAX_TRANSACTION_ENTRIES) {
            responder.respond(HttpExchange.Response.empty(BAD_REQUEST));
            return;
        }
        for (JsonNode condition : transaction.path("precondition")) {
            if (versionOf(condition) != condition.path("ver").asLong()) {
                responder.respond(json(CONDITION_FAILED, currentRows(transaction.path("precondition"))));
                return;
            }
        }
        version++;
        transaction
                .path("writes")
                .forEach(w -> write(
                        w.path("table").asText(),
                        w.path("key").asText(),
                        w.path("value").asText(),
                        false));
        transaction
                .path("remove")
                .forEach(r -> write(r.path("table").asText(), r.path("key").asText(), "", true));
        responder.respond(json(OK, newResponseBody()));
        answerWatches();
    }

    private long versionOf(JsonNode name) {
        StoredRow row = latest(name);
        return row == null || row.deleted() ? 0 : row.version();
    }

    private StoredRow latest(JsonNode name) {
        RowHistory history =
                table(name.path("table").asText()).get(name.path("key").asText());
        return history == null ? null : history.latest();
    }

    private ObjectNode currentRows(JsonNode names) {
        ObjectNode answer = newResponseBody();
        ArrayNode rows = answer.putArray("rows");
        for (JsonNode name : names) {
            StoredRow row = latest(name);
            if (row != null && !row.deleted()) {
                append(rows, name.path("table").asText(), name.path("key").asText(), row);
            }
        }
        return answer;
    }

    private TreeMap<String, RowHistory> table(String name) {
        return tables.computeIfAbsent(name, n -> new TreeMap<>());
    }

    private void write(String table, String key, String value, boolean deleted) {
        table(table)
                .computeIfAbsent(key, k -> new RowHistory())
                .add(new StoredRow(value, version, deleted, clock.nowMillis()));
    }

    private void read(QueryStringDecoder query, HttpExchange.Responder responder) {
        String from = parameter(query, "from", "");
        String to = parameter(query, "target", "\uffff");
        int limit = Integer.parseInt(parameter(query, "limit", "500"));
        ObjectNode answer = newResponseBody();
        ArrayNode rows = answer.putArray("rows");
        String table = parameter(query, "table", "");
        long asOfMillis = staleMillis == 0 ? Long.MAX_VALUE : clock.nowMillis() - staleMillis;
        boolean hasMore = false;
        for (Map.Entry<String, RowHistory> entry : table(table).subMap(from, to).entrySet()) {
            StoredRow row = entry.getValue().at(asOfMillis);
            if (row != null && !row.deleted()) {
                hasMore = rows.size() >= limit;
                if (hasMore) {
                    break;
                }
                append(rows, table, entry.getKey(), row);
            }
        }
        answer.put("has_more", hasMore);
        responder.respond(json(OK, answer));
    }

    private void watch(QueryStringDecoder query, Fault fault, HttpExchange.Responder responder) {
        long after = Long.parseLong(parameter(query, "after", "0"));
        if (fault == Fault.HISTORY_GONE || after < historyStart || after > version) {
            responder.respond(json(GONE, newResponseBody()));
            return;
        }
        Watch watch = new Watch(parameter(query, "table", ""), after, responder);
        watches.add(watch);
        long waitMillis = Long.parseLong(parameter(query, "wait_ms", "0"));
        traffic.schedule(
                () -> {
                    if (watches.remove(watch)) {
                        responder.respond(json(OK, watchesHearNothing ? noChanges() : changes(watch)));
                    }
                },
                waitMillis);
        answerWatches();
    }

    private void answerWatches() {
        if (watchesHearNothing) {
            return;
        }
        for (Watch watch : List.copyOf(watches)) {
            ObjectNode changes = changes(watch);
            if (!changes.path("rows").isEmpty()) {
                watches.remove(watch);
                watch.responder().respond(json(OK, changes));
            }
        }
    }

    private ObjectNode changes(Watch watch) {
        ObjectNode answer = newResponseBody();
        ArrayNode rows = answer.putArray("rows");
        table(watch.table()).forEach((key, history) -> {
            StoredRow row = history.latest();
            if (row.version() > watch.after()) {
                append(rows, watch.table(), key, row);
            }
        });
        return answer;
    }

    private ObjectNode noChanges() {
        ObjectNode answer = newResponseBody();
        answer.putArray("rows");
        return answer;
    }

    private static void append(ArrayNode rows, String table, String key, StoredRow row) {
        ObjectNode node = rows.addObject();
        node.put("table", table).put("part", "").put("key", key).put("ver", row.version());
        if (row.deleted()) {
            node.put("tombstone", true);
        } else {
            node.put("value", row.value());
        }
    }

    private ObjectNode newResponseBody() {
        return MAPPER.createObjectNode().put("ver", version).put("now_ms", clock.nowMillis());
    }

    private static String parameter(QueryStringDecoder query, String name, String defaultValue) {
        List<String> values = query.parameters().get(name);
        return values == null ? defaultValue : values.get(0);
    }

    private static HttpExchange.Response json(int status, ObjectNode body) {
        return new HttpExchange.Response(status, List.of(JSON), body.toString().getBytes(StandardCharsets.UTF_8));
    }
}
