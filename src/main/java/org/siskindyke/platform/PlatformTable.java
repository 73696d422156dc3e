package org.siskindyke.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.table.CommitResult;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.table.Transaction;
import org.siskindyke.runtime.traffic.TrafficLoop;

/**
 * Keeps the rows of the table service in two tables of the platform's store: rows that all routers replicate, and rows
 * that only some routers read, so that changes of the latter do not end a watch.
 *
 * <p>Reads may lag behind the version that they name, so a read is complete only up to the newest row in it. Where the
 * history since then is gone, this router writes a row of its own and reads until that row appears.
 */
final class PlatformTable implements TableService {
    private static final String REPLICATED_TABLE = "routers";
    private static final String UNREPLICATED_TABLE = "routers-own";
    private static final int PAGE_ROWS = 500;
    /** How long a watch waits; all routers must know a new owner within seconds, even if an answer is lost. */
    private static final long WATCH_WAIT_MILLIS = 4_000;
    /** Delay before a read that lags is repeated; each call is billed. */
    private static final long STALE_RETRY_MILLIS = 500;
    /** Calls of {@link #changesSince} besides its watch: the write of the marker and a read. */
    private static final int CALLS_BESIDE_WATCH = 2;

    /** Prefix of markers; sorts before all other rows, so that the first page of a read shows them. */
    private static final String MARKERS = "-markers/";

    private final StoreClient store;
    private final TrafficLoop traffic;
    private final RowPath marker;
    private final WatchProgress progress = new WatchProgress();
    /** Version at which this router last wrote its marker; 0 for never. */
    private volatile long markerVersion;

    /**
     * Creates a table.
     *
     * @param store the store
     * @param traffic delays the repetition of reads that lag
     * @param instance the instance of this router; names its marker
     */
    PlatformTable(StoreClient store, TrafficLoop traffic, InstanceName instance) {
        this.store = store;
        this.traffic = traffic;
        this.marker = RowPath.of(MARKERS + instance);
    }

    @Override
    public long maxPollMillis() {
        return WATCH_WAIT_MILLIS + STALE_RETRY_MILLIS + (1 + CALLS_BESIDE_WATCH) * StoreClient.CALL_TIMEOUT_MILLIS;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Returns all changes, even if they are more than {@code maxRows}.
     */
    @Override
    public CompletionStage<TableChanges> changesSince(long version, int maxRows) {
        if (version == 0) {
            return snapshot();
        }
        if (version < markerVersion) {
            return delay(STALE_RETRY_MILLIS).thenCompose(ignored -> snapshot());
        }
        return store.watch(REPLICATED_TABLE, version, WATCH_WAIT_MILLIS)
                .thenCompose(answer -> answer.status() == StoreClient.HISTORY_GONE
                        ? writeMarker().thenCompose(ignored -> snapshot())
                        : CompletableFuture.completedStage(changes(version, answer.body())));
    }

    private CompletionStage<Void> delay(long millis) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        traffic.schedule(() -> elapsed.complete(null), millis);
        return elapsed;
    }

    private CompletionStage<TableChanges> snapshot() {
        return snapshot(null, 0, new ArrayList<>());
    }

    private CompletionStage<Void> writeMarker() {
        Transaction write = Transaction.builder().put(marker, "").build();
        return commit(write).thenAccept(result -> markerVersion = result.version());
    }

    private TableChanges changes(long after, JsonNode body) {
        List<Row> rows = new ArrayList<>();
        long newest = addRows(body, rows);
        return new TableChanges(
                progress.onAnswer(after, newest, body.path("ver").asLong()), rows);
    }

    /** Adds the rows of an answer, except markers, to {@code rows}; returns the highest version, 0 for no row. */
    private static long addRows(JsonNode body, List<Row> rows) {
        long newest = 0;
        for (JsonNode encoded : body.path("rows")) {
            Row row = row(encoded);
            newest = Math.max(newest, row.revision());
            if (!row.path().isIn(MARKERS)) {
                rows.add(row);
            }
        }
        return newest;
    }

    /**
     * Reads all replicated rows page by page; the result is complete up to the newest row of the first page.
     *
     * @param from the first key of the next page; null for the first page
     * @param firstPageVersion the highest version of the rows in the first page; ignored for it
     * @param rows the rows read so far
     */
    private CompletionStage<TableChanges> snapshot(String from, long firstPageVersion, List<Row> rows) {
        return store.readRows(REPLICATED_TABLE, from, null, PAGE_ROWS).thenCompose(answer -> {
            JsonNode page = answer.body().path("rows");
            long newest = addRows(answer.body(), rows);
            long upTo = from == null ? newest : firstPageVersion;
            if (!answer.body().path("has_more").asBoolean(false) || page.isEmpty()) {
                return CompletableFuture.completedStage(new TableChanges(upTo, rows));
            }
            String last = page.get(page.size() - 1).path("key").asText();
            return snapshot(last + '\u0001', upTo, rows);
        });
    }

    private static Row row(JsonNode row) {
        RowPath path = RowPath.of(row.path("key").asText());
        boolean deleted = row.path("tombstone").asBoolean(false);
        return new Row(path, row.path("ver").asLong(), deleted ? "" : StoreClient.decodeValue(row), deleted);
    }

    private static String table(RowPath path) {
        return path.isReplicated() || path.isIn(MARKERS) ? REPLICATED_TABLE : UNREPLICATED_TABLE;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Sends a transaction without writes and the condition that the row does not exist, since reads may lag.
     */
    @Override
    public CompletionStage<Row> read(RowPath path) {
        return store.readCurrent(table(path), path.value())
                .thenApply(current -> current.map(PlatformTable::row).orElse(Row.absent(path)));
    }

    @Override
    public CompletionStage<List<Row>> list(String prefix, int maxRows) {
        String table = table(RowPath.of(prefix));
        return store.readRows(table, prefix, prefix + '\uffff', Math.min(PAGE_ROWS, maxRows))
                .thenApply(answer -> {
                    List<Row> rows = new ArrayList<>();
                    addRows(answer.body(), rows);
                    return rows;
                });
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode conditions = body.putArray("precondition");
        for (Transaction.Condition condition : transaction.conditions()) {
            putRowKey(conditions.addObject(), condition.path()).put("ver", condition.revision());
        }
        ArrayNode writes = body.putArray("writes");
        ArrayNode removals = body.putArray("remove");
        for (Transaction.Write write : transaction.writes()) {
            if (write.value() == null) {
                putRowKey(removals.addObject(), write.path());
            } else {
                putRowKey(writes.addObject(), write.path()).put("value", StoreClient.encodeValue(write.value()));
            }
        }
        return store.transact(body).thenApply(answer -> result(answer, transaction));
    }

    private static ObjectNode putRowKey(ObjectNode node, RowPath path) {
        return StoreClient.putRowKey(node, table(path), path.value());
    }

    /** Returns the result; for a conflict, it names the row of the first condition, even if that condition held. */
    private static CommitResult result(StoreClient.Answer answer, Transaction transaction) {
        long version = answer.body().path("ver").asLong();
        if (answer.status() == StoreClient.OK) {
            return CommitResult.committed(version);
        }
        RowPath first = transaction.conditions().isEmpty()
                ? null
                : transaction.conditions().get(0).path();
        return CommitResult.conflict(version, first);
    }
}
