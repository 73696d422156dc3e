package org.siskindyke.kernel.table;

/**
 * The table's answer to a transaction.
 *
 * @param committed whether the writes took effect; false where a condition did not hold
 * @param version the table version after the answer
 * @param conflict the first condition's row that did not hold; null when committed
 */
public record CommitResult(boolean committed, long version, RowPath conflict) {
    /** Returns the answer for writes that took effect. */
    public static CommitResult committed(long version) {
        return new CommitResult(true, version, null);
    }

    /** Returns the answer for a condition that did not hold. */
    public static CommitResult conflict(long version, RowPath path) {
        return new CommitResult(false, version, path);
    }
}
