package org.siskindyke.plugin.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.siskindyke.kernel.table.CommitResult;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.kernel.table.TableEra;
import org.siskindyke.kernel.table.TableReplica;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.table.Transaction;

/**
 * A table service in the memory of this process. Safe for use by several threads; returned stages are already
 * complete.
 */
public final class EmbeddedTable implements TableService {
    private final Map<RowPath, Row> rows = new HashMap<>();
    private final TreeMap<RowPath, Row> rowsByPath = new TreeMap<>();
    private TableReplica replica = new TableReplica();
    private List<Row> copy = List.of();
    private long version;

    @Override
    public synchronized CompletionStage<TableChanges> changesSince(long sinceVersion, int maxRows) {
        return CompletableFuture.completedFuture(replica.changesSince(sinceVersion, maxRows));
    }

    @Override
    public synchronized CompletionStage<Row> read(RowPath path) {
        return CompletableFuture.completedFuture(present(path));
    }

    @Override
    public synchronized CompletionStage<List<Row>> list(String prefix, int maxRows) {
        List<Row> found = new ArrayList<>();
        for (Row row : rowsByPath.tailMap(RowPath.of(prefix), true).values()) {
            if (!row.path().isIn(prefix) || found.size() >= maxRows) {
                break;
            }
            if (!row.deleted()) {
                found.add(row);
            }
        }
        return CompletableFuture.completedFuture(found);
    }

    @Override
    public synchronized long era() {
        return TableEra.of(version);
    }

    /** Replaces the copy from which {@link #restore} restores the rows. */
    public synchronized void saveCopy() {
        copy = List.copyOf(rows.values());
    }

    /** Goes back to the last saved copy and begins the next era. */
    public synchronized void restore() {
        rows.clear();
        rowsByPath.clear();
        copy.forEach(this::put);
        version = TableEra.revision(era() + 1, 0);
        replica = new TableReplica();
        replica.apply(new TableChanges(
                version, copy.stream().filter(row -> row.path().isReplicated()).toList()));
    }

    private void put(Row row) {
        rows.put(row.path(), row);
        rowsByPath.put(row.path(), row);
    }

    /** Returns a row of the present era. */
    private Row present(RowPath path) {
        Row row = rows.get(path);
        return row == null || TableEra.of(row.revision()) < era() ? Row.absent(path) : row;
    }

    @Override
    public synchronized CompletionStage<CommitResult> commit(Transaction transaction) {
        for (Transaction.Condition condition : transaction.conditions()) {
            if (currentRevision(condition.path()) != TableEra.requiredIn(era(), condition.revision())) {
                return CompletableFuture.completedFuture(CommitResult.conflict(version, condition.path()));
            }
        }
        version++;
        List<Row> replicatedRows = new ArrayList<>();
        for (Transaction.Write write : transaction.writes()) {
            boolean deleted = write.value() == null;
            Row row = new Row(write.path(), version, deleted ? "" : write.value(), deleted);
            put(row);
            if (row.path().isReplicated()) {
                replicatedRows.add(row);
            }
        }
        replica.apply(new TableChanges(version, replicatedRows));
        return CompletableFuture.completedFuture(CommitResult.committed(version));
    }

    private long currentRevision(RowPath path) {
        Row row = present(path);
        return row.deleted() ? 0 : row.revision();
    }
}
