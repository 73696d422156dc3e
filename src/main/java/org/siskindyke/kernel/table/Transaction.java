package org.siskindyke.kernel.table;

import java.util.ArrayList;
import java.util.List;

/**
 * Conditional writes that are applied atomically.
 *
 * @param conditions conditions that must all hold when the writes take effect
 * @param writes the rows to write
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
    /** Copies the lists. */
    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }

    /**
     * Requires that a row has not changed since it was read.
     *
     * @param path the row
     * @param revision the revision it was read at; 0 requires that the row was never written or is deleted
     */
    public record Condition(RowPath path, long revision) {}

    /**
     * Writes or deletes a row.
     *
     * @param path the row
     * @param value JSON text; null deletes the row
     */
    public record Write(RowPath path, String value) {}

    /** Returns a new builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a transaction. */
    public static final class Builder {
        private final List<Condition> conditions = new ArrayList<>();
        private final List<Write> writes = new ArrayList<>();

        /** Requires the row to be at a revision; 0 requires that it was never written or is deleted. */
        public Builder require(RowPath path, long revision) {
            conditions.add(new Condition(path, revision));
            return this;
        }

        /** Writes a row without a condition on it; null deletes the row. */
        public Builder put(RowPath path, String value) {
            writes.add(new Write(path, value));
            return this;
        }

        /** Writes a row on condition that it is still at a revision. */
        public Builder replace(RowPath path, long revision, String value) {
            return require(path, revision).put(path, value);
        }

        /** Deletes a row on condition that it is still at a revision. */
        public Builder delete(RowPath path, long revision) {
            return require(path, revision).put(path, null);
        }

        /** Adds all conditions and writes of another transaction. */
        public Builder addAll(Transaction other) {
            conditions.addAll(other.conditions());
            writes.addAll(other.writes());
            return this;
        }

        /** Returns the transaction. */
        public Transaction build() {
            return new Transaction(conditions, writes);
        }
    }
}
