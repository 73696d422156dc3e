package org.siskindyke.kernel.control;

import java.util.Collection;
import java.util.List;

import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableEra;
import org.siskindyke.kernel.table.Transaction;

/**
 * The rule by which of two members that move a slice after a restore of the table only one succeeds.
 *
 * <p>Members may know different rows of earlier eras that list a slice, and could move it from these into the same
 * generation of the present era without a condition in common. So the first move of a slice in an era also rewrites the
 * row of the slices without an owner, from a view that is complete up to that row. Once a slice was moved in the
 * present era, one row lists it in its latest generation, and the condition on that row decides.
 */
final class EraMoves {
    private EraMoves() {}

    /**
     * Returns whether slices of other members may be moved, as far as a view knows. After a restore it has to contain
     * the rows of all serving members, so that a slice which two of them list is known as such.
     */
    static boolean mayMoveOthers(ClusterView view, Collection<ServiceName> services) {
        return view.era() == 0 || view.isRecorded() && services.stream().allMatch(service -> isComplete(view, service));
    }

    /** Returns whether a view contains all changes up to those of the row of the slices without an owner. */
    static boolean isComplete(ClusterView view, ServiceName service) {
        long version = view.replica().version();
        return TableEra.of(version) == view.era() && view.revision(RowPath.unassigned(service)) <= version;
    }

    /** Returns whether a move of some slices has to rewrite the row of the slices without an owner. */
    static boolean isFirst(ClusterView view, List<OwnedSlice> slices) {
        return view.era() > 0 && slices.stream().anyMatch(slice -> !slice.isMovedIn(view.era()));
    }

    /** Rewrites the row of the slices without an owner unchanged, on condition that nobody else has written it. */
    static void rewriteUnassigned(ClusterView view, ServiceName service, Transaction.Builder transaction) {
        SliceOwnershipRow unassigned = view.unassigned(service);
        transaction.replace(unassigned.path(), view.revision(unassigned.path()), RowCodec.encode(unassigned));
    }
}
