package org.siskindyke.kernel.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;

/**
 * The table row of the slices of a service that one member owns, or that have no owner.
 *
 * <p>Each slice is listed in exactly one row. A transaction that moves it rewrites the old and the new owner's row.
 *
 * @param service the service
 * @param member the owner; null for the slices without an owner
 * @param slices the slices, ordered by index; runs of adjacent ones are listed as one
 */
public record SliceOwnershipRow(ServiceName service, MemberId member, List<OwnedSlice> slices) {
    /** Copies and sorts the list. */
    public SliceOwnershipRow {
        slices = slices.stream()
                .sorted(Comparator.comparingInt(OwnedSlice::index))
                .toList();
    }

    /** Returns the path of this row. */
    public RowPath path() {
        return member == null ? RowPath.unassigned(service) : RowPath.sliceOwnership(service, member);
    }

    /**
     * Decodes a row.
     *
     * @param row the row, possibly absent
     * @param service the service of the row
     * @param member the owner; null for the slices without an owner
     * @return the decoded row, without slices if {@code row} is absent
     * @throws org.siskindyke.kernel.error.SiskindykeException with code {@code CORRUPT_ROW} if the row is malformed
     */
    public static SliceOwnershipRow read(Row row, ServiceName service, MemberId member) {
        return row.deleted()
                ? new SliceOwnershipRow(service, member, List.of())
                : RowCodec.decode(row, SliceOwnershipRow.class);
    }

    /** Returns the row with more slices. */
    public SliceOwnershipRow plus(List<OwnedSlice> more) {
        List<OwnedSlice> all = new ArrayList<>(slices);
        all.addAll(more);
        return new SliceOwnershipRow(service, member, all);
    }

    /** Returns the row without the slices of the given indexes, which may be in the middle of a run. */
    public SliceOwnershipRow minus(Set<Integer> indexes) {
        return new SliceOwnershipRow(service, member, SliceRuns.except(slices, SliceRuns.bitsOf(indexes)));
    }
}
