package org.siskindyke.kernel.table;

import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * The platform's transactional table service.
 *
 * <p>When a stage completes exceptionally, a write may or may not have taken effect; callers find out by reading.
 * Stages may complete on any thread.
 */
public interface TableService extends AutoCloseable {
    /**
     * Reads replicated rows that changed after a version.
     *
     * @param version the version up to which the caller knows all changes; 0 for none
     * @param maxRows approximate maximum number of rows to return, with {@code upToVersion} lowered to match and the
     *     changes marked as truncated; an implementation may return more
     * @return the changes; fails with {@code TABLE_UNAVAILABLE} when the table does not answer
     */
    CompletionStage<TableChanges> changesSince(long version, int maxRows);

    /**
     * Reads one row.
     *
     * @param path the row
     * @return the row, {@link Row#absent} if it does not exist; fails with {@code TABLE_UNAVAILABLE}
     */
    CompletionStage<Row> read(RowPath path);

    /**
     * Lists rows whose path starts with a prefix.
     *
     * @param prefix the prefix
     * @param maxRows maximum number of rows to return
     * @return rows in path order, without deleted ones; fails with {@code TABLE_UNAVAILABLE}
     */
    CompletionStage<List<Row>> list(String prefix, int maxRows);

    /**
     * Applies a transaction.
     *
     * @param transaction conditions and writes
     * @return the result; after a failure with {@code TABLE_UNAVAILABLE}, the writes may or may not have taken effect
     */
    CompletionStage<CommitResult> commit(Transaction transaction);

    /**
     * Returns how long {@link #changesSince} may wait for a change before it answers, in milliseconds; 0 if it
     * answers at once.
     */
    default long maxPollMillis() {
        return 0;
    }

    /** Returns the latest {@link TableEra} that an answer has named; 0 before the first answer. For any thread. */
    default long era() {
        return 0;
    }

    @Override
    default void close() {}
}
