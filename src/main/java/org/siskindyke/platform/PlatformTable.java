package org.siskindyke.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.siskindyke.kernel.table.CommitResult;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.table.Transaction;

/**
 * Keeps the rows of the table service in two tables of the platform's store: rows that all routers replicate, and rows
 * that only some routers read, so that changes of the latter do not end a watch.
 */
final class PlatformTable implements TableService {
    private static final String REPLICATED_TABLE = "routers";
    private static final String UNREPLICATED_TABLE = "routers-own";
    private static final int PAGE_ROWS = 500;
    /** How long a watch waits; all routers must know a new owner within seconds, even if an answer is lost. */
    private static final long WATCH_WAIT_MILLIS = 4_000;

    private final StoreClient store;

    PlatformTable(StoreClient store) {
        this.store = store;
    }

    @Override
    public long maxPollMillis() {
        return WATCH_WAIT_MILLIS + StoreClient.CALL_TIMEOUT_MILLIS;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Returns all changes, even if they are more than {@code maxRows}.
     */
    @Override
    public CompletionStage<TableChanges> changesSince(long version, int maxRows) {
        if (version == 0) {
            return snapshot(null, Long.MAX_VALUE, new ArrayList<>());
        }
        return store.watch(REPLICATED_TABLE, version, WATCH_WAIT_MILLIS)
                .thenCompose(answer -> answer.status() == StoreClient.HISTORY_GONE
                        ? snapshot(null, Long.MAX_VALUE, new ArrayList<>())
                        : CompletableFuture.completedStage(changes(answer.body())));
    }

    private static TableChanges changes(JsonNode body) {
        List<Row> rows = new ArrayList<>();
        body.path("rows").forEach(row -> rows.add(row(row)));
        return new TableChanges(body.path("ver").asLong(), rows);
    }

    /**
     * Reads all replicated rows page by page; the result is complete up to the version of the first page.
     *
     * @param from the first key of the next page; null for the first page
     * @param version the lowest version of the pages read so far; {@link Long#MAX_VALUE} before the first page
     * @param rows the rows read so far
     */
    private CompletionStage<TableChanges> snapshot(String from, long version, List<Row> rows) {
        return store.readRows(REPLICATED_TABLE, from, null, PAGE_ROWS).thenCompose(answer -> {
            JsonNode body = answer.body();
            body.path("rows").forEach(row -> rows.add(row(row)));
            long upTo = Math.min(version, body.path("ver").asLong());
            if (!body.path("has_more").asBoolean(false) || rows.isEmpty()) {
                return CompletableFuture.completedStage(new TableChanges(upTo, rows));
            }
            String last = rows.get(rows.size() - 1).path().value();
            return snapshot(last + '\u0001', upTo, rows);
        });
    }

    private static Row row(JsonNode row) {
        RowPath path = RowPath.of(row.path("key").asText());
        boolean deleted = row.path("tombstone").asBoolean(false);
        return new Row(path, row.path("ver").asLong(), deleted ? "" : StoreClient.decodeValue(row), deleted);
    }

    private static String table(RowPath path) {
        return path.isReplicated() ? REPLICATED_TABLE : UNREPLICATED_TABLE;
    }

    @Override
    public CompletionStage<Row> read(RowPath path) {
        // No other key lies between a key and the same key followed by U+0001.
        return store.readRows(table(path), path.value(), path.value() + '\u0001', 1)
                .thenApply(answer -> {
                    JsonNode rows = answer.body().path("rows");
                    return rows.isEmpty() ? Row.absent(path) : row(rows.get(0));
                });
    }

    @Override
    public CompletionStage<List<Row>> list(String prefix, int maxRows) {
        String table = table(RowPath.of(prefix));
        return store.readRows(table, prefix, prefix + '\uffff', Math.min(PAGE_ROWS, maxRows))
                .thenApply(answer -> changes(answer.body()).rows());
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
        return node.put("table", table(path)).put("part", "").put("key", path.value());
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
