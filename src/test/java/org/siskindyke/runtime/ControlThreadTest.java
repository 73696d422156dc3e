package org.siskindyke.runtime;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import net.jqwik.api.Example;
import org.siskindyke.kernel.table.CommitResult;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableChanges;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.table.Transaction;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ControlThreadTest {
    private static final long POLL_MILLIS = 25_000;

    /**
     * Guards against a confined table that hides how long the table waits for changes: readers then took it for one
     * that answers at once and polled it ten times as often.
     */
    @Example
    void aConfinedTableWaitsAsLongForChangesAsTheTableItself() {
        try (ControlThread control = new ControlThread("test")) {
            assertEquals(POLL_MILLIS, control.confine(new WaitingTable()).maxPollMillis());
        }
    }

    private static final class WaitingTable implements TableService {
        @Override
        public CompletionStage<TableChanges> changesSince(long version, int limitRows) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<Row> read(RowPath path) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<List<Row>> list(String prefix, int limitRows) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            return new CompletableFuture<>();
        }

        @Override
        public long maxPollMillis() {
            return POLL_MILLIS;
        }
    }
}
