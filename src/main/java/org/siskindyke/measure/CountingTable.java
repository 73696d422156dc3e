package org.siskindyke.measure;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.table.CommitResult;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.table.Transaction;

/** Counts what a cluster asks of a table service. */
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

    TableService direct() {
        return table;
    }

    /** Returns one member's way to the table. */
    TableService reachableWhen(BooleanSupplier reachable) {
        return new Way(reachable);
    }

    private final class Way implements TableService {
        private final BooleanSupplier reachable;

        private Way(BooleanSupplier reachable) {
            this.reachable = reachable;
        }

        private <T> CompletionStage<T> call(Supplier<CompletionStage<T>> operation) {
            return reachable.getAsBoolean()
                    ? operation.get()
                    : CompletableFuture.failedFuture(new SiskindykeException(ErrorCode.TABLE_UNAVAILABLE, "cut off"));
        }

        @Override
        public CompletionStage<TableChanges> changesSince(long version, int limitRows) {
            reads++;
            return call(() -> table.changesSince(version, limitRows));
        }

        @Override
        public CompletionStage<Row> read(RowPath path) {
            reads++;
            return call(() -> table.read(path));
        }

        @Override
        public CompletionStage<List<Row>> list(String prefix, int limitRows) {
            reads++;
            return call(() -> table.list(prefix, limitRows));
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            writes++;
            return call(() -> table.commit(transaction));
        }
    }
}
