package org.siskindyke.measure;

import java.util.List;
import java.util.concurrent.CompletionStage;

import org.siskindyke.kernel.table.CommitResult;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.table.Transaction;

/** Counts the reads and writes that the members of a cluster send to a table service. */
final class CountingTable {
    private final TableService table;
    private long reads;
    private long writes;

    CountingTable(TableService table) {
        this.table = table;
    }

    long reads() {
        return reads;
    }

    long writes() {
        return writes;
    }

    void reset() {
        reads = 0;
        writes = 0;
    }

    /** Returns the table service itself; its calls are not counted. */
    TableService uncounted() {
        return table;
    }

    /** Returns a table service for one member; its calls are counted. */
    TableService newMemberTable() {
        return new CountedTable();
    }

    private final class CountedTable implements TableService {
        @Override
        public CompletionStage<TableChanges> changesSince(long version, int limitRows) {
            reads++;
            return table.changesSince(version, limitRows);
        }

        @Override
        public CompletionStage<Row> read(RowPath path) {
            reads++;
            return table.read(path);
        }

        @Override
        public CompletionStage<List<Row>> list(String prefix, int limitRows) {
            reads++;
            return table.list(prefix, limitRows);
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            writes++;
            return table.commit(transaction);
        }
    }
}
