package org.siskindyke.kernel.control;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;

/**
 * Counts, by fingerprint of a call, how many backend servers crashed while they ran it. Written by the control
 * thread; may be read by any thread.
 */
public final class SuspectList {
    /** Number of crashes from which on a call is refused. */
    public static final int REFUSE_AFTER_CRASHES = 2;

    private final Map<RowPath, SuspectRow> rows = new ConcurrentHashMap<>();

    /**
     * The table's row about a suspected call.
     *
     * @param crashes number of backend servers that crashed while they ran it
     * @param lastCrashMillis time of the last crash, in milliseconds since the Unix epoch
     */
    public record SuspectRow(int crashes, long lastCrashMillis) {}

    /** Applies a row as read from the table. */
    public void apply(Row row) {
        if (row.deleted()) {
            rows.remove(row.path());
        } else {
            rows.put(row.path(), RowCodec.decode(row, SuspectRow.class));
        }
    }

    /** Returns whether no call is suspected. */
    public boolean isEmpty() {
        return rows.isEmpty();
    }

    /**
     * Returns the number of backend servers that crashed while they ran a call.
     *
     * @param path the path of the call's row, see {@link RowPath#suspect}
     */
    public int crashes(RowPath path) {
        SuspectRow row = rows.get(path);
        return row == null ? 0 : row.crashes();
    }

    /** Returns the number of different calls, by fingerprint, that are refused at present. */
    public long refusedCount() {
        return rows.values().stream()
                .filter(r -> r.crashes() >= REFUSE_AFTER_CRASHES)
                .count();
    }
}
