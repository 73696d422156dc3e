package org.siskindyke.kernel.control;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwner;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.ownership.SliceRuns;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;

/**
 * Finds slices that no row lists, and adds them to those without an owner. A table that was restored may have lost a
 * move that only the previous owner knows of, which then no longer lists the slice, or whose copy lists an owner of
 * before, which must not serve the slice any more.
 */
final class LostSlices {
    /** Rows that a transaction requires to be unchanged; the platform's store accepts 100 entries. */
    private static final int MAX_CONDITIONS = 90;

    private final ControlContext context;
    private final TableSync sync;
    private final TableWriter writer;
    private final Map<ServiceName, Long> missingSinceMillis = new HashMap<>();
    private final Set<ServiceName> adding = new HashSet<>();

    LostSlices(ControlContext context, TableSync sync, TableWriter writer) {
        this.context = context;
        this.sync = sync;
        this.writer = writer;
    }

    /**
     * Adds the slices of a service that no row has listed in their latest generation for as long as a lease lasts, so
     * that no backend server is granted them any more. Does nothing while a member may have rows that this one does not
     * know. Where the slices were moved in the present era, the conditions on the rows that list them decide between
     * this and other moves; {@link EraMoves} does where they were not.
     */
    void plan(ServiceDocument document, SliceOwnershipRow unassigned) {
        ServiceName service = document.service();
        long nowMillis = context.nowMillis();
        List<Row> rows = servingRowsOf(service);
        List<Integer> missing = missing(document, rows);
        if (missing.isEmpty() || !context.view().isRecorded()) {
            missingSinceMillis.remove(service);
            return;
        }
        long sinceMillis = missingSinceMillis.computeIfAbsent(service, s -> nowMillis);
        boolean due = nowMillis >= sinceMillis + context.settings().lease().expiryTimeoutMillis();
        if (due && isComplete(service) && adding.add(service)) {
            missingSinceMillis.remove(service);
            add(document, unassigned, missing);
        }
    }

    /** Returns whether this member knows no listing of a service that is later than the changes it has all of. */
    private boolean isComplete(ServiceName service) {
        long version = context.view().replica().version();
        return rowsOf(service).allMatch(row -> row.revision() <= version);
    }

    /** Returns the rows of serving members; one that is dead serves nobody, whatever its row lists. */
    private List<Row> servingRowsOf(ServiceName service) {
        return rowsOf(service)
                .filter(row -> row.path().isUnassigned() || isServing(row.path()))
                .toList();
    }

    private Stream<Row> rowsOf(ServiceName service) {
        String prefix = RowPath.SLICE_OWNERSHIPS + service + "/";
        return StreamSupport.stream(context.view().replica().all().spliterator(), false)
                .filter(row -> row.path().isIn(prefix) && !row.deleted());
    }

    private boolean isServing(RowPath ownershipRow) {
        MemberId owner = MemberId.of(ownershipRow.lastSegment());
        return context.view()
                .members()
                .serving(owner)
                .filter(member -> !context.view().isReplaced(member))
                .isPresent();
    }

    /** Returns the slices that a row lists in the latest generation known. */
    private List<OwnedSlice> listed(ServiceName service, RowPath path) {
        return path.isUnassigned()
                ? context.view().unassignedSlices(service)
                : context.view().ownedSlices(service, MemberId.of(path.lastSegment()));
    }

    private List<Integer> missing(ServiceDocument document, List<Row> rows) {
        BitSet listed = new BitSet();
        rows.forEach(row -> listed.or(SliceRuns.bits(listed(document.service(), row.path()))));
        return IntStream.range(0, document.keys().slices())
                .filter(index -> !listed.get(index))
                .boxed()
                .toList();
    }

    private void add(ServiceDocument document, SliceOwnershipRow unassigned, List<Integer> missing) {
        ServiceName service = document.service();
        List<Row> listing = rowsThatList(service, Set.copyOf(missing))
                .filter(row -> !row.path().isUnassigned())
                .toList();
        List<Row> conditions = listing.subList(0, Math.min(MAX_CONDITIONS, listing.size()));
        Set<Integer> left = listing.stream()
                .skip(conditions.size())
                .flatMap(row -> SliceRuns.indexes(decoded(service, row.path()).slices()).stream())
                .collect(Collectors.toSet());
        long settleMillis = TakeoverPlan.settleMillis(document);
        List<OwnedSlice> lost = missing.stream()
                .filter(index -> !left.contains(index))
                .map(index -> new OwnedSlice(index, generation(new SliceRef(service, index)), 0))
                .toList();
        List<OwnedSlice> slices = SliceRuns.reassign(
                lost, context.view().blockSlices(service), context.era(), slice -> settleMillis, slice -> null);
        Transaction.Builder transaction = Transaction.builder()
                .replace(
                        unassigned.path(),
                        context.view().revision(unassigned.path()),
                        RowCodec.encode(unassigned.plus(slices)));
        conditions.forEach(row -> transaction.require(row.path(), row.revision()));
        rowsOfServingOwners(service).stream()
                .filter(path -> conditions.stream().noneMatch(row -> row.path().equals(path)))
                .limit(MAX_CONDITIONS - conditions.size())
                .forEach(path -> transaction.require(path, context.view().revision(path)));
        writer.submit(transaction.build(), context.nowMillis(), outcome -> {
            adding.remove(service);
            sync.refresh();
            context.listener()
                    .onPlacement(new PlacementDecision(
                            PlacementDecision.Kind.ASSIGN,
                            service,
                            null,
                            null,
                            SliceRuns.count(slices),
                            "slices that no row lists",
                            outcome.committed()));
        });
    }

    /**
     * Returns the paths of the rows in which serving members list slices, whether or not this member knows these rows.
     * A peer that knows a row in a later version than that up to which it knows all changes leaves it out when it sends
     * changes, so a slice may have an owner whose row this member has never seen.
     */
    private List<RowPath> rowsOfServingOwners(ServiceName service) {
        return context.view().members().serving().stream()
                .filter(member -> member.targetOf(service).isPresent())
                .map(member -> RowPath.sliceOwnership(service, member.id()))
                .toList();
    }

    /** Returns the rows that list some of the given slices, in any generation and whatever became of their owners. */
    private Stream<Row> rowsThatList(ServiceName service, Set<Integer> indexes) {
        BitSet searched = SliceRuns.bitsOf(indexes);
        return rowsOf(service)
                .filter(row ->
                        SliceRuns.bits(decoded(service, row.path()).slices()).intersects(searched));
    }

    private SliceOwnershipRow decoded(ServiceName service, RowPath path) {
        return path.isUnassigned()
                ? context.view().unassigned(service)
                : context.view().ownershipRow(service, MemberId.of(path.lastSegment()));
    }

    private long generation(SliceRef slice) {
        return context.view()
                .ownership()
                .owner(slice)
                .map(SliceOwner::generation)
                .orElse(0L);
    }
}
