package org.siskindyke.kernel.table;

/**
 * A row as it was last written.
 *
 * @param path the path of the row
 * @param revision the table version of the transaction that wrote it; 0 for a row that was never written
 * @param value JSON text; empty if the row does not exist
 * @param deleted whether the row does not exist: the last write deleted it, or it was never written
 */
public record Row(RowPath path, long revision, String value, boolean deleted) {
    /** Returns the representation of a row that was never written. */
    public static Row absent(RowPath path) {
        return new Row(path, 0, "", true);
    }
}
