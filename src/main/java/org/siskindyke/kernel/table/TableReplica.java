package org.siskindyke.kernel.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A copy of the replicated rows that is complete up to a version.
 *
 * <p>Two replicas synchronize by version alone: each sends the rows whose revision is above the other's version. Not
 * thread-safe.
 */
public final class TableReplica {
    private final Map<RowPath, Row> rows = new HashMap<>();
    private final TreeMap<Long, List<RowPath>> pathsByRevision = new TreeMap<>();
    private long version;

    /** Returns the version up to which all replicated changes are known. */
    public long version() {
        return version;
    }

    /** Returns the number of rows, deleted ones included. */
    public int size() {
        return rows.size();
    }

    /** Returns a row; {@link Row#absent} if it is unknown. */
    public Row get(RowPath path) {
        Row row = rows.get(path);
        return row == null ? Row.absent(path) : row;
    }

    /** Returns all rows, deleted ones included, in no particular order. */
    public Iterable<Row> all() {
        return rows.values();
    }

    /**
     * Applies changes that start at or below this replica's version.
     *
     * @param changes the changes
     * @return the rows that were new to this replica, in the order given
     */
    public List<Row> apply(TableChanges changes) {
        List<Row> applied = new ArrayList<>();
        for (Row row : changes.rows()) {
            if (putIfNewer(row)) {
                applied.add(row);
            }
        }
        version = Math.max(version, changes.upToVersion());
        return applied;
    }

    /**
     * Applies rows that are known to be committed, without advancing the version, since other changes may be missing.
     *
     * @param committed the rows
     * @return the rows that were new to this replica
     */
    public List<Row> applyRows(List<Row> committed) {
        return apply(new TableChanges(version, committed));
    }

    /**
     * Returns the changes that a replica at a lower version lacks.
     *
     * @param sinceVersion the other replica's version
     * @param maxRows approximate maximum number of rows; rows of one transaction are not split
     * @return the changes, complete up to their {@code upToVersion}
     */
    public TableChanges changesSince(long sinceVersion, int maxRows) {
        if (sinceVersion >= version) {
            return TableChanges.none(sinceVersion);
        }
        List<Row> changed = new ArrayList<>();
        for (Map.Entry<Long, List<RowPath>> entry :
                pathsByRevision.tailMap(sinceVersion, false).entrySet()) {
            if (entry.getKey() > version) {
                break;
            }
            if (changed.size() >= maxRows) {
                return new TableChanges(entry.getKey() - 1, changed, sinceVersion, true);
            }
            for (RowPath path : entry.getValue()) {
                changed.add(rows.get(path));
            }
        }
        return new TableChanges(version, changed, sinceVersion, false);
    }

    private boolean putIfNewer(Row row) {
        Row known = rows.get(row.path());
        if (known != null && known.revision() >= row.revision()) {
            return false;
        }
        if (known != null) {
            removeRevision(known);
        }
        rows.put(row.path(), row);
        pathsByRevision.computeIfAbsent(row.revision(), r -> new ArrayList<>(2)).add(row.path());
        return true;
    }

    private void removeRevision(Row known) {
        List<RowPath> paths = pathsByRevision.get(known.revision());
        paths.remove(known.path());
        if (paths.isEmpty()) {
            pathsByRevision.remove(known.revision());
        }
    }
}
