package org.siskindyke.kernel.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.siskindyke.kernel.document.DocumentCatalog.AcceptedDocument;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.ownership.SliceRuns;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;

/**
 * Assigns slices without an owner to members.
 *
 * <p>The planner of a service is the member with the lowest id among those that accept its work. Where views differ and
 * two members act as planner at once, work may be wasted, but transactions keep the ownership consistent.
 */
final class AssignmentPlanner {
    /** Members of a new cluster start within a second of each other; waiting avoids moving slices to late ones. */
    private static final long FIRST_ASSIGNMENT_WAIT_MILLIS = 2_000;
    /**
     * The platform's store accepts at most 100 conditions and writes in a transaction. Each member that gets slices
     * takes three of them; ten are left for other rows.
     */
    private static final int MAX_MEMBERS_PER_TRANSACTION = 30;

    private final ControlContext context;
    private final TableSync sync;
    private final TableWriter writer;
    private final MemberRegistration registration;
    private final Set<ServiceName> assigning = new HashSet<>();
    private final Map<ServiceName, Long> createAtMillis = new HashMap<>();
    /** Returns whether the rows of the table are settled at a time, see {@link EraRecovery}. */
    private final LongPredicate settled;

    private final LostSlices lostSlices;
    private long nextPlanMillis;

    AssignmentPlanner(
            ControlContext context,
            TableSync sync,
            TableWriter writer,
            MemberRegistration registration,
            LongPredicate settled) {
        this.context = context;
        this.sync = sync;
        this.writer = writer;
        this.registration = registration;
        this.settled = settled;
        this.lostSlices = new LostSlices(context, sync, writer);
    }

    void tick(long nowMillis) {
        if (nowMillis < nextPlanMillis) {
            return;
        }
        nextPlanMillis = nowMillis + context.settings().planMillis();
        for (TargetAnnouncement target : registration.row().targets()) {
            context.view()
                    .documents()
                    .get(target.service())
                    .map(AcceptedDocument::document)
                    .filter(document -> document.keys().divided())
                    .ifPresent(this::plan);
        }
    }

    private void plan(ServiceDocument document) {
        ServiceName service = document.service();
        List<MemberRow> members = context.view().members().acceptingMembers(service).stream()
                .filter(member -> context.view().isRecordedInPresentEra(member.id()))
                .toList();
        Optional<MemberId> planner = members.stream().map(MemberRow::id).min(Comparator.naturalOrder());
        if (!planner.equals(Optional.of(context.self()))) {
            return;
        }
        SliceOwnershipRow unassigned = context.view().unassigned(service);
        lostSlices.plan(document, unassigned);
        if (!settled.test(context.nowMillis())) {
            return;
        }
        if (context.view().revision(unassigned.path()) == 0) {
            createSlices(document, unassigned);
            return;
        }
        if (!unassigned.slices().isEmpty() && EraMoves.mayMoveOthers(context.view(), List.of(service))) {
            assign(service, unassigned, members);
        }
    }

    /** Creates the slices of a service that has none, once its members have had time to join. */
    private void createSlices(ServiceDocument document, SliceOwnershipRow unassigned) {
        long nowMillis = context.nowMillis();
        long dueMillis =
                createAtMillis.computeIfAbsent(document.service(), s -> nowMillis + FIRST_ASSIGNMENT_WAIT_MILLIS);
        if (nowMillis < dueMillis || !assigning.add(document.service())) {
            return;
        }
        List<OwnedSlice> slices =
                blocks(document.keys().slices(), context.view().blockSlices(document.service()));
        Transaction transaction = Transaction.builder()
                .replace(unassigned.path(), 0, RowCodec.encode(unassigned.plus(slices)))
                .build();
        writer.submit(transaction, nowMillis, outcome -> {
            assigning.remove(document.service());
            sync.fetch(unassigned.path());
        });
    }

    private static List<OwnedSlice> blocks(int sliceCount, int blockSlices) {
        return IntStream.iterate(0, index -> index < sliceCount, index -> index + blockSlices)
                .mapToObj(index -> new OwnedSlice(index, 0, 0, null, Math.min(blockSlices, sliceCount - index)))
                .toList();
    }

    private void assign(ServiceName service, SliceOwnershipRow unassigned, List<MemberRow> members) {
        if (!assigning.add(service)) {
            return;
        }
        Map<MemberId, Integer> counts = new HashMap<>();
        members.forEach(m -> counts.put(m.id(), context.view().ownedCount(service, m.id())));
        SliceOwnershipRow free =
                new SliceOwnershipRow(service, null, context.view().unassignedSlices(service));
        List<OwnedSlice> slices = SliceRuns.reassign(
                free.slices(),
                context.view().blockSlices(service),
                context.era(),
                OwnedSlice::settleMillis,
                slice -> null);
        Map<MemberId, List<OwnedSlice>> shares = limitMembers(SliceShares.divideEvenly(counts, slices));
        Set<Integer> assignedIndexes = shares.values().stream()
                .flatMap(share -> SliceRuns.indexes(share).stream())
                .collect(Collectors.toSet());
        SliceOwnershipRow rest = free.minus(assignedIndexes);
        Transaction.Builder transaction = Transaction.builder()
                .replace(unassigned.path(), context.view().revision(unassigned.path()), RowCodec.encode(rest));
        shares.forEach((member, share) -> {
            SliceOwnershipRow owned =
                    context.view().ownershipRow(service, member).plus(share);
            transaction.replace(owned.path(), context.view().revision(owned.path()), RowCodec.encode(owned));
            transaction.require(RowPath.member(member), context.view().members().revision(member));
        });
        writer.submit(transaction.build(), context.nowMillis(), outcome -> {
            assigning.remove(service);
            sync.refresh();
            context.listener()
                    .onPlacement(new PlacementDecision(
                            PlacementDecision.Kind.ASSIGN,
                            service,
                            null,
                            null,
                            assignedIndexes.size(),
                            "slices without an owner",
                            outcome.committed()));
        });
    }

    /** Keeps the shares that fit in one transaction; the next round assigns the others. */
    private static Map<MemberId, List<OwnedSlice>> limitMembers(Map<MemberId, List<OwnedSlice>> shares) {
        TreeMap<MemberId, List<OwnedSlice>> first = new TreeMap<>(shares);
        while (first.size() > MAX_MEMBERS_PER_TRANSACTION) {
            first.pollLastEntry();
        }
        return first;
    }
}
