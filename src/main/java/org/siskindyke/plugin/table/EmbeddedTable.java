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
    private final TableReplica replica = new TableReplica();
    private long version;

    @Override
    public synchronized CompletionStage<TableChanges> changesSince(long sinceVersion, int maxRows) {
        return CompletableFuture.completedFuture(replica.changesSince(sinceVersion, maxRows));
    }

    @Override
    public synchronized CompletionStage<Row> read(RowPath path) {
        return CompletableFuture.completedFuture(rows.getOrDefault(path, Row.absent(path)));
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
    public synchronized CompletionStage<CommitResult> commit(Transaction transaction) {
        for (Transaction.Condition condition : transaction.conditions()) {
            if (currentRevision(condition.path()) != condition.revision()) {
                return CompletableFuture.completedFuture(CommitResult.conflict(version, condition.path()));
            }
        }
        version++;
        List<Row> replicatedRows = new ArrayList<>();
        for (Transaction.Write write : transaction.writes()) {
            boolean deleted = write.value() == null;
            Row row = new Row(write.path(), version, deleted ? "" : write.value(), deleted);
            rows.put(row.path(), row);
            rowsByPath.put(row.path(), row);
            if (row.path().isReplicated()) {
                replicatedRows.add(row);
            }
        }
        replica.apply(new TableChanges(version, replicatedRows));
        return CompletableFuture.completedFuture(CommitResult.committed(version));
    }

    private long currentRevision(RowPath path) {
        Row row = rows.get(path);
        return row == null || row.deleted() ? 0 : row.revision();
    }
}
