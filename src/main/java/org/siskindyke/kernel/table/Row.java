package org.siskindyke.kernel.table;

/**
 * A row as it was last written.
 *
 * @param path the path of the row
 * @param revision the table version of the transaction that wrote it; 0 for a row that was never written
 * @param value JSON text; empty for a deleted row
 * @param deleted whether the last write deleted the row
 */
public record Row(RowPath path, long revision, String value, boolean deleted) {
    /** Returns the row that represents one that was never written. */
    public static Row absent(RowPath path) {
        return new Row(path, 0, "", true);
    }
}
