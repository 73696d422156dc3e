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
import org.siskindyke.kernel.table.TableEra;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.table.Transaction;
import org.siskindyke.runtime.traffic.TrafficLoop;

/**
 * Keeps the rows of the table service in two tables of the platform's store: rows that all routers replicate, and rows
 * that only some routers read, so that changes of the latter do not end a watch.
 *
 * <p>Reads may lag behind the version that they name, so a read is complete only up to the newest row in it. Where the
 * history since then is gone, this router writes a row of its own and reads until that row appears.
 *
 * <p>The store's eras are those of {@link TableEra}; each row's key names the era in which it was written.
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
        this.marker = RowPath.of(EraKey.MARKERS + instance);
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
        if (version == 0 || TableEra.of(version) < store.era()) {
            return snapshot();
        }
        if (version < markerVersion) {
            return delay(STALE_RETRY_MILLIS).thenCompose(ignored -> snapshot());
        }
        return store.watch(REPLICATED_TABLE, TableEra.versionOf(version), WATCH_WAIT_MILLIS)
                .thenCompose(answer -> onWatched(version, answer));
    }

    private CompletionStage<TableChanges> onWatched(long after, StoreClient.Answer answer) {
        if (answer.era() != TableEra.of(after)) {
            return snapshot();
        }
        return answer.status() == StoreClient.HISTORY_GONE
                ? writeMarker().thenCompose(ignored -> snapshot())
                : CompletableFuture.completedStage(changes(after, answer));
    }

    /** {@inheritDoc} */
    @Override
    public long era() {
        return Math.max(0, store.era());
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

    private TableChanges changes(long after, StoreClient.Answer answer) {
        List<Row> rows = new ArrayList<>();
        long newest = addRows(answer, rows);
        long answered = TableEra.revision(answer.era(), answer.version());
        // Rows of earlier eras change only by writes that were delayed.
        rows.removeIf(row -> TableEra.of(row.revision()) != answer.era());
        return new TableChanges(progress.onAnswer(after, newest, answered), rows);
    }

    /**
     * Adds the rows of an answer, except markers and those that no router writes, to {@code rows}.
     *
     * @return the highest revision of a row of the answer's era, 0 for no row
     */
    private long addRows(StoreClient.Answer answer, List<Row> rows) {
        long newest = 0;
        for (StoreRow stored : store.rows(answer)) {
            EraKey key = EraKey.parse(stored.key()).orElse(null);
            if (key == null || key.era() > answer.era()) {
                continue;
            }
            Row row = row(key, stored);
            if (key.era() == answer.era()) {
                newest = Math.max(newest, row.revision());
            }
            if (!key.isMarker()) {
                rows.add(row);
            }
        }
        return newest;
    }

    /**
     * Reads all replicated rows page by page, those that are left of earlier eras as well; the result is complete up to
     * the newest row of the present era in the first page.
     *
     * @param from the first key of the next page; null for the first page
     * @param firstPage the version up to which the first page is complete; ignored for it
     * @param rows the rows read so far
     */
    private CompletionStage<TableChanges> snapshot(String from, long firstPage, List<Row> rows) {
        return store.readRows(REPLICATED_TABLE, from, null, PAGE_ROWS).thenCompose(answer -> {
            JsonNode page = answer.body().path("rows");
            if (from != null && answer.era() != TableEra.of(firstPage)) {
                return snapshot();
            }
            long newest = addRows(answer, rows);
            long upTo = from == null ? Math.max(newest, TableEra.revision(answer.era(), 0)) : firstPage;
            if (!answer.body().path("has_more").asBoolean(false) || page.isEmpty()) {
                return CompletableFuture.completedStage(new TableChanges(upTo, rows));
            }
            String last = page.get(page.size() - 1).path("key").asText();
            return snapshot(last + '\u0001', upTo, rows);
        });
    }

    private static Row row(EraKey key, StoreRow row) {
        return new Row(key.path(), TableEra.revision(key.era(), row.version()), row.value(), row.deleted());
    }

    /** Returns the present era, which the first call learns by a read. */
    private CompletionStage<Long> presentEra() {
        if (store.era() != StoreClient.UNKNOWN_ERA) {
            return CompletableFuture.completedStage(store.era());
        }
        return store.readRows(REPLICATED_TABLE, null, null, 1).thenApply(StoreClient.Answer::era);
    }

    private static String table(RowPath path) {
        return path.isReplicated() || path.isIn(EraKey.MARKERS) ? REPLICATED_TABLE : UNREPLICATED_TABLE;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Sends a transaction without writes and the condition that the row does not exist, since reads may lag.
     */
    @Override
    public CompletionStage<Row> read(RowPath path) {
        return presentEra()
                .thenCompose(era -> store.readCurrent(table(path), new EraKey(era, path))
                        .thenApply(current -> current.map(row -> row(new EraKey(era, path), row))
                                .orElse(Row.absent(path))));
    }

    @Override
    public CompletionStage<List<Row>> list(String prefix, int maxRows) {
        String table = table(RowPath.of(prefix));
        return presentEra().thenCompose(era -> list(table, new EraKey(era, RowPath.of(prefix)), maxRows));
    }

    private CompletionStage<List<Row>> list(String table, EraKey prefix, int maxRows) {
        String from = prefix.text();
        CompletionStage<StoreClient.Answer> read =
                store.readRows(table, from, from + '\uffff', Math.min(PAGE_ROWS, maxRows));
        return read.thenCompose(answer -> StoreClient.requireEra(answer, prefix.era()))
                .thenApply(this::rows);
    }

    private List<Row> rows(StoreClient.Answer answer) {
        List<Row> rows = new ArrayList<>();
        addRows(answer, rows);
        return rows;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Fails with {@code TABLE_UNAVAILABLE}, too, where the store's era has changed since the last answer; the writes
     * then have no effect.
     */
    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        return presentEra()
                .thenCompose(era -> store.transact(encode(transaction, era))
                        .thenCompose(answer -> StoreClient.requireEra(answer, era)))
                .thenApply(answer -> result(answer, transaction));
    }

    private static ObjectNode encode(Transaction transaction, long era) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ArrayNode conditions = body.putArray("precondition");
        for (Transaction.Condition condition : transaction.conditions()) {
            long required = TableEra.versionOf(TableEra.requiredIn(era, condition.revision()));
            putRowKey(conditions.addObject(), condition.path(), era).put("ver", required);
        }
        ArrayNode writes = body.putArray("writes");
        ArrayNode removals = body.putArray("remove");
        for (Transaction.Write write : transaction.writes()) {
            if (write.value() == null) {
                putRowKey(removals.addObject(), write.path(), era);
            } else {
                putRowKey(writes.addObject(), write.path(), era).put("value", StoreClient.encodeValue(write.value()));
            }
        }
        return body;
    }

    private static ObjectNode putRowKey(ObjectNode node, RowPath path, long era) {
        return StoreClient.putRowKey(node, table(path), new EraKey(era, path).text());
    }

    /** Returns the result; for a conflict, it names the row of the first condition, even if that condition held. */
    private static CommitResult result(StoreClient.Answer answer, Transaction transaction) {
        long version = TableEra.revision(answer.era(), answer.version());
        if (answer.status() == StoreClient.OK) {
            return CommitResult.committed(version);
        }
        RowPath first = transaction.conditions().isEmpty()
                ? null
                : transaction.conditions().get(0).path();
        return CommitResult.conflict(version, first);
    }
}
