package org.siskindyke.kernel.table;

/**
 * The result of a transaction.
 *
 * @param committed whether the writes took effect; false if a condition did not hold
 * @param version the table version after the transaction
 * @param conflict the row of a condition that did not hold, or of any condition if the table does not report which one
 *     did not hold; null if committed
 */
public record CommitResult(boolean committed, long version, RowPath conflict) {
    /** Returns the result for writes that took effect. */
    public static CommitResult committed(long version) {
        return new CommitResult(true, version, null);
    }

    /** Returns the result for a condition on the row {@code path} that did not hold. */
    public static CommitResult conflict(long version, RowPath path) {
        return new CommitResult(false, version, path);
    }
}
