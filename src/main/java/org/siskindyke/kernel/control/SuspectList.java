package org.siskindyke.kernel.control;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;

/**
 * Fingerprints of calls that were running when backend servers crashed. Written by the control thread; may be read by
 * any thread.
 */
public final class SuspectList {
    /** Crashes after which a call is refused. */
    public static final int REFUSE_AFTER_CRASHES = 2;

    private final Map<RowPath, SuspectRow> rows = new ConcurrentHashMap<>();

    /**
     * The table's row about a suspected call.
     *
     * @param crashes how many backend servers crashed while they ran it
     * @param lastCrashMillis time of the last crash, milliseconds since the epoch
     */
    public record SuspectRow(int crashes, long lastCrashMillis) {}

    /** Takes over a row. */
    public void apply(Row row) {
        if (row.deleted()) {
            rows.remove(row.path());
        } else {
            rows.put(row.path(), RowCodec.decode(row, SuspectRow.class));
        }
    }

    /** Tells whether no call is suspected. */
    public boolean isEmpty() {
        return rows.isEmpty();
    }

    /** Returns the number of crashes that a call was running at. */
    public int crashes(RowPath path) {
        SuspectRow row = rows.get(path);
        return row == null ? 0 : row.crashes();
    }

    /** Returns the number of calls that are refused. */
    public long refusedCount() {
        return rows.values().stream()
                .filter(r -> r.crashes() >= REFUSE_AFTER_CRASHES)
                .count();
    }
}
