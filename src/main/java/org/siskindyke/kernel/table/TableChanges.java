package org.siskindyke.kernel.table;

import java.util.List;

/**
 * Rows that changed after a version, each in its latest state, in no particular order.
 *
 * @param upToVersion the rows are complete for all replicated changes up to this version; some may be newer
 * @param rows the latest state of each changed row
 * @param sinceVersion the version from which on the rows are complete; {@link #UNKNOWN} where only the reader who asked
 *     knows it
 * @param truncated whether there are more changes after {@code upToVersion} than were returned
 */
public record TableChanges(long upToVersion, List<Row> rows, long sinceVersion, boolean truncated) {
    /** Stands for a version that is not known; above all versions. */
    public static final long UNKNOWN = Long.MAX_VALUE;

    /** Copies the list. */
    public TableChanges {
        rows = List.copyOf(rows);
    }

    /** Creates all changes since the version that the reader has asked for. */
    public TableChanges(long upToVersion, List<Row> rows) {
        this(upToVersion, rows, UNKNOWN, false);
    }

    /** Returns changes without rows that are complete up to a version. */
    public static TableChanges none(long version) {
        return new TableChanges(version, List.of());
    }
}
