package org.siskindyke.kernel.table;

import java.util.List;

/**
 * Rows that changed after a version, each in its latest state, in no particular order.
 *
 * @param upToVersion the rows are complete for all replicated changes up to this version; some may be newer
 * @param rows the latest state of each changed row
 */
public record TableChanges(long upToVersion, List<Row> rows) {
    /** Copies the list. */
    public TableChanges {
        rows = List.copyOf(rows);
    }

    /** Returns changes without rows that are complete up to a version. */
    public static TableChanges none(long version) {
        return new TableChanges(version, List.of());
    }
}
