package org.siskindyke.kernel.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import org.siskindyke.kernel.document.DocumentCatalog.AcceptedDocument;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.ownership.SliceRuns;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;

/**
 * Builds the transaction that declares a member dead and assigns its slices to others.
 *
 * <p>The number of rows written is bounded per service by {@link #MAX_NEW_OWNERS}, whatever the number of slices.
 */
final class TakeoverPlan {
    /** Maximum number of members among which the slices of a dead member are divided, per service. */
    static final int MAX_NEW_OWNERS = 3;

    /** Covers clock drift while a new owner waits out the settle time. */
    private static final long SETTLE_MARGIN_MILLIS = 100;

    private final ClusterView view;
    private final Transaction.Builder transaction = Transaction.builder();
    private int slices;

    private TakeoverPlan(ClusterView view) {
        this.view = view;
    }

    /**
     * Plans a takeover.
     *
     * @param view the declaring member's copy of the table
     * @param dead the member to declare dead
     * @param declaredBy the declaring member
     * @param joining the member that joins in the same transaction and gets the slices of the services that it serves;
     *     null for none. Slices of other services go to the members that {@link #chooseNewOwners} returns.
     * @return the plan
     */
    static TakeoverPlan declareDead(ClusterView view, MemberRow dead, MemberId declaredBy, MemberRow joining) {
        TakeoverPlan plan = new TakeoverPlan(view);
        plan.transaction.replace(
                RowPath.member(dead.id()),
                view.members().revision(dead.id()),
                RowCodec.encode(dead.withState(MemberState.DEAD, declaredBy)));
        for (ServiceName service : servicesOf(dead)) {
            plan.reassign(service, dead, joining);
        }
        return plan;
    }

    Transaction.Builder transaction() {
        return transaction;
    }

    int sliceCount() {
        return slices;
    }

    /** Returns whether a view knows enough of the slices of a member to declare it dead. */
    static boolean mayDeclareDead(ClusterView view, MemberRow member) {
        return EraMoves.mayMoveOthers(view, servicesOf(member));
    }

    private static List<ServiceName> servicesOf(MemberRow member) {
        return member.targets().stream()
                .map(TargetAnnouncement::service)
                .distinct()
                .toList();
    }

    private void reassign(ServiceName service, MemberRow dead, MemberRow joining) {
        Row row = view.replica().get(RowPath.sliceOwnership(service, dead.id()));
        SliceOwnershipRow owned = SliceOwnershipRow.read(row, service, dead.id());
        transaction.require(row.path(), row.revision());
        if (owned.slices().isEmpty()) {
            return;
        }
        transaction.put(row.path(), RowCodec.encode(new SliceOwnershipRow(service, dead.id(), List.of())));
        long settleMillis = settleMillis(service, dead);
        List<OwnedSlice> before = view.ownedSlices(service, dead.id());
        List<OwnedSlice> reassigned = SliceRuns.reassign(
                before,
                view.blockSlices(service),
                view.era(),
                slice -> Math.max(slice.settleMillis(), settleMillis),
                slice -> null);
        slices += SliceRuns.count(reassigned);
        List<MemberRow> newOwners = joining != null && joining.targetOf(service).isPresent()
                ? List.of(joining)
                : chooseNewOwners(view, service, dead.id(), Optional.of(dead));
        if (newOwners.isEmpty()) {
            addTo(RowPath.unassigned(service), service, null, reassigned);
            return;
        }
        share(service, reassigned, newOwners, joining);
        if (EraMoves.isFirst(view, before)) {
            EraMoves.rewriteUnassigned(view, service, transaction);
        }
    }

    private void share(ServiceName service, List<OwnedSlice> reassigned, List<MemberRow> newOwners, MemberRow joining) {
        Map<MemberId, Integer> counts = new TreeMap<>();
        for (MemberRow newOwner : newOwners) {
            counts.put(newOwner.id(), view.ownedCount(service, newOwner.id()));
        }
        Map<MemberId, List<OwnedSlice>> shares = SliceShares.divideEvenly(counts, reassigned);
        shares.forEach((newOwner, share) -> {
            // A joining member has no row yet: the transaction to which this plan is added creates it.
            if (joining == null) {
                transaction.require(RowPath.member(newOwner), view.members().revision(newOwner));
            }
            addTo(RowPath.sliceOwnership(service, newOwner), service, newOwner, share);
        });
    }

    private void addTo(RowPath path, ServiceName service, MemberId owner, List<OwnedSlice> more) {
        Row row = view.replica().get(path);
        SliceOwnershipRow owned = SliceOwnershipRow.read(row, service, owner);
        transaction.replace(path, row.revision(), RowCodec.encode(owned.plus(more)));
    }

    /** Returns how long a new owner waits because the dead member's backend server may still run calls. */
    private long settleMillis(ServiceName service, MemberRow dead) {
        boolean checksGrants =
                dead.targetOf(service).map(TargetAnnouncement::checksGrants).orElse(false);
        if (checksGrants) {
            return 0;
        }
        Optional<AcceptedDocument> accepted = view.documents().get(service);
        return accepted.map(a -> settleMillis(a.document())).orElse(0L);
    }

    /** Returns how long calls of a service may still run at a backend server that does not check grants. */
    static long settleMillis(ServiceDocument document) {
        return document.calls().timeoutMillis() + SETTLE_MARGIN_MILLIS;
    }

    /**
     * Chooses the members that take over slices: those that own the fewest, preferably in other failure domains than
     * the one of a failed member.
     *
     * @param view a copy of the table
     * @param service the service
     * @param excluded a member that must not be chosen
     * @param failedMember a member whose failure domain may be lost; empty where no member failed
     * @return at most {@link #MAX_NEW_OWNERS} members
     */
    static List<MemberRow> chooseNewOwners(
            ClusterView view, ServiceName service, MemberId excluded, Optional<MemberRow> failedMember) {
        List<MemberRow> candidates = new ArrayList<>(view.members().acceptingMembers(service));
        candidates.removeIf(m -> m.id().equals(excluded) || !view.isRecordedInPresentEra(m.id()));
        failedMember.ifPresent(lost -> {
            boolean othersExist =
                    candidates.stream().anyMatch(m -> !m.failureDomain().equals(lost.failureDomain()));
            candidates.removeIf(m -> othersExist && m.failureDomain().equals(lost.failureDomain()));
        });
        candidates.sort(Comparator.comparingInt((MemberRow m) -> view.ownedCount(service, m.id()))
                .thenComparing(MemberRow::id));
        return candidates.subList(0, Math.min(MAX_NEW_OWNERS, candidates.size()));
    }

    /**
     * Chooses new owners as above, for this member's own slices, but at random among those that own equally few: where
     * all owners of a failure domain hand over at once, the same few members would get the slices of all.
     */
    static List<MemberRow> chooseNewOwnersAtRandom(ControlContext context, ServiceName service) {
        ClusterView view = context.view();
        List<MemberRow> candidates = new ArrayList<>(view.members().acceptingMembers(service));
        candidates.removeIf(m -> m.id().equals(context.self()) || !view.isRecordedInPresentEra(m.id()));
        Collections.shuffle(candidates, new Random(context.random().nextLong()));
        candidates.sort(Comparator.comparingInt((MemberRow m) -> view.ownedCount(service, m.id())));
        return candidates.subList(0, Math.min(MAX_NEW_OWNERS, candidates.size()));
    }
}
