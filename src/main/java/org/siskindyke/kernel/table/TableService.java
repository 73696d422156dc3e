package org.siskindyke.kernel.table;

import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * The platform's transactional table service.
 *
 * <p>A stage that completes exceptionally leaves it open whether a write took effect; callers settle that by reading.
 */
public interface TableService extends AutoCloseable {
    /**
     * Reads replicated rows that changed after a version.
     *
     * @param version the version up to which the caller knows all changes; 0 for none
     * @param limitRows at most this many rows are returned; {@code upToVersion} is lowered to match
     * @return the changes; fails with {@code TABLE_UNAVAILABLE} when the table does not answer
     */
    CompletionStage<TableChanges> changesSince(long version, int limitRows);

    /**
     * Reads one row.
     *
     * @param path the row
     * @return the row, in its absent form where it does not exist; fails with {@code TABLE_UNAVAILABLE}
     */
    CompletionStage<Row> read(RowPath path);

    /**
     * Lists rows whose path starts with a prefix.
     *
     * @param prefix the prefix
     * @param limitRows at most this many rows are returned
     * @return rows in path order, without deleted ones; fails with {@code TABLE_UNAVAILABLE}
     */
    CompletionStage<List<Row>> list(String prefix, int limitRows);

    /**
     * Applies a transaction.
     *
     * @param transaction conditions and writes
     * @return the answer; a failure with {@code TABLE_UNAVAILABLE} leaves it open whether the writes took effect
     */
    CompletionStage<CommitResult> commit(Transaction transaction);

    /**
     * Returns how long {@link #changesSince} may wait for a change before it answers, in milliseconds; 0 where it
     * answers at once.
     */
    default long maxPollMillis() {
        return 0;
    }

    @Override
    default void close() {}
}
