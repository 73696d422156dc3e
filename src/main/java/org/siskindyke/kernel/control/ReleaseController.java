package org.siskindyke.kernel.control;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.ownership.SliceRuns;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;

/**
 * Releases slices that this member owns, to another member or without a new owner: pauses their new calls, waits for
 * those in progress, and rewrites the ownership row that loses the slices and the one that gets them in one
 * transaction.
 */
final class ReleaseController {
    private static final long RETRY_MILLIS = 500;

    private final ControlContext context;
    private final TableSync sync;
    private final TableWriter writer;
    private final SliceTraffic traffic;
    private final Set<SliceRef> releasing = new HashSet<>();
    /** Reads that failed and are repeated. */
    private final List<Runnable> retries = new ArrayList<>();

    private long nextRetryMillis;

    ReleaseController(ControlContext context, TableSync sync, TableWriter writer, SliceTraffic traffic) {
        this.context = context;
        this.sync = sync;
        this.writer = writer;
        this.traffic = traffic;
    }

    /** Returns the number of slices whose release is in progress. */
    int releasingCount() {
        return releasing.size();
    }

    /**
     * Starts a release. Refuses it if it names no slices, if one of them is being released already or has another
     * owner, or if the new owner does not accept work of the service.
     *
     * <p>Reads this member's ownership row from the table before it pauses calls. Refuses the release if the row is not
     * as this view knows it or the table does not answer.
     *
     * @param release the slices and their new owner; a null new owner leaves the slices without an owner
     */
    void start(PeerMessenger.Release release) {
        start(List.of(release));
    }

    /**
     * Starts releases of slices of one service to different new owners, in one transaction. Refuses all of them where
     * it would refuse one.
     *
     * @param releases the slices and their new owners, at least one; no slice and no new owner is in two of them
     */
    void start(List<PeerMessenger.Release> releases) {
        List<SliceRef> slices = refs(releases);
        ServiceName service = releases.get(0).service();
        SliceOwnershipRow owned = context.view().ownershipRow(service, context.self());
        boolean ownsAll = SliceRuns.count(ownedSlices(releases)) == slices.size();
        boolean noneReleasing = slices.stream().noneMatch(releasing::contains);
        boolean noneEmpty =
                releases.stream().noneMatch(release -> release.slices().isEmpty());
        if (!noneEmpty || !ownsAll || !noneReleasing || !newOwnersAccept(releases)) {
            report(releases, PlacementDecision.Kind.MOVE_REFUSED, false);
            return;
        }
        releasing.addAll(slices);
        RowPath path = owned.path();
        long knownRevision = context.view().revision(path);
        context.whenComplete(context.table().read(path), (row, failure) -> {
            if (failure != null || row.revision() != knownRevision) {
                releasing.removeAll(slices);
                sync.refresh();
                report(releases, PlacementDecision.Kind.MOVE_REFUSED, false);
            } else {
                traffic.pause(slices, () -> commit(releases, slices));
            }
        });
    }

    private boolean newOwnersAccept(List<PeerMessenger.Release> releases) {
        return releases.stream().allMatch(this::newOwnerAccepts);
    }

    private boolean newOwnerAccepts(PeerMessenger.Release release) {
        if (release.newOwner() == null) {
            return true;
        }
        Optional<MemberRow> newOwner = context.view().members().serving(release.newOwner());
        return !release.newOwner().equals(context.self())
                && context.view().isRecordedInPresentEra(release.newOwner())
                && newOwner.filter(m -> m.state() == MemberState.ALIVE && m.acceptsWorkOf(release.service()))
                        .isPresent();
    }

    private void commit(List<PeerMessenger.Release> releases, List<SliceRef> slices) {
        ServiceName service = releases.get(0).service();
        List<OwnedSlice> moving = ownedSlices(releases);
        boolean isFirst = EraMoves.isFirst(context.view(), moving);
        boolean known = !isFirst || EraMoves.isComplete(context.view(), service);
        if (SliceRuns.count(moving) != slices.size() || !newOwnersAccept(releases) || !known) {
            releases.forEach(release -> finish(release, false));
            return;
        }
        List<SliceOwnershipRow> rows = new ArrayList<>();
        rows.add(context.view()
                .ownershipRow(service, context.self())
                .minus(Set.copyOf(slices.stream().map(SliceRef::index).toList())));
        releases.forEach(release -> rows.add(rowOfNewOwner(release)));
        Transaction.Builder transaction = Transaction.builder();
        rows.forEach(row -> transaction.replace(row.path(), context.view().revision(row.path()), RowCodec.encode(row)));
        List<MemberId> newOwners = releases.stream()
                .map(PeerMessenger.Release::newOwner)
                .filter(Objects::nonNull)
                .toList();
        newOwners.forEach(newOwner -> transaction.require(
                RowPath.member(newOwner), context.view().members().revision(newOwner)));
        if (isFirst && newOwners.size() == releases.size()) {
            EraMoves.rewriteUnassigned(context.view(), service, transaction);
        }
        long era = context.era();
        writer.submit(transaction.build(), context.nowMillis(), outcome -> {
            if (outcome.committed()) {
                applyCommitted(rows, outcome.version());
                newOwners.forEach(this::pushChangesTo);
            }
            sync.refresh();
            for (PeerMessenger.Release release : releases) {
                if (outcome.committed() || context.era() == era) {
                    finish(release, outcome.committed());
                } else {
                    retries.add(() -> finishAfterRead(release));
                }
            }
        });
    }

    private SliceOwnershipRow rowOfNewOwner(PeerMessenger.Release release) {
        SliceOwnershipRow before = release.newOwner() == null
                ? context.view().unassigned(release.service())
                : context.view().ownershipRow(release.service(), release.newOwner());
        return before.plus(forNewOwner(release.service(), ownedSlices(List.of(release))));
    }

    /**
     * Ends a release whose outcome is not known since a new era of the table began: the new owner may have seen it
     * committed in the earlier era. Its row says so once it has been written again, or once the new owner is dead.
     */
    private void finishAfterRead(PeerMessenger.Release release) {
        boolean serving = release.newOwner() != null
                && context.view().members().serving(release.newOwner()).isPresent();
        if (serving && !context.view().isRecordedInPresentEra(release.newOwner())) {
            retries.add(() -> finishAfterRead(release));
            return;
        }
        RowPath theirs = release.newOwner() == null
                ? RowPath.unassigned(release.service())
                : RowPath.sliceOwnership(release.service(), release.newOwner());
        context.whenComplete(context.table().read(theirs), (row, failure) -> {
            if (failure == null) {
                sync.applyCommitted(List.of(row));
                finish(release, false);
            } else {
                retries.add(() -> finishAfterRead(release));
            }
        });
    }

    void tick(long nowMillis) {
        if (retries.isEmpty() || nowMillis < nextRetryMillis) {
            return;
        }
        nextRetryMillis = nowMillis + RETRY_MILLIS;
        List<Runnable> due = List.copyOf(retries);
        retries.clear();
        due.forEach(Runnable::run);
    }

    /** Returns the slices for their next owner, which inherits the settle time unless this member has waited it out. */
    private List<OwnedSlice> forNewOwner(ServiceName service, List<OwnedSlice> slices) {
        return SliceRuns.reassign(
                withOneHandoverEach(service, slices),
                context.view().blockSlices(service),
                context.era(),
                run -> isSettled(service, run) ? 0 : run.settleMillis(),
                run -> traffic.handoverState(new SliceRef(service, run.index())));
    }

    private boolean isSettled(ServiceName service, OwnedSlice run) {
        return IntStream.range(run.index(), run.end())
                .allMatch(index -> context.view()
                        .ownership()
                        .owner(new SliceRef(service, index))
                        .filter(owner -> owner.isUsableBy(context.self(), context.nowMillis()))
                        .isPresent());
    }

    /** Splits runs where the backend server left different handover data for their slices. */
    private List<OwnedSlice> withOneHandoverEach(ServiceName service, List<OwnedSlice> slices) {
        List<OwnedSlice> parts = new ArrayList<>();
        for (OwnedSlice run : slices) {
            int from = run.index();
            for (int index = from + 1; index <= run.end(); index++) {
                if (index == run.end() || !hasSameHandover(service, from, index)) {
                    parts.add(run.part(from, index));
                    from = index;
                }
            }
        }
        return parts;
    }

    private boolean hasSameHandover(ServiceName service, int index, int other) {
        return Objects.equals(
                traffic.handoverState(new SliceRef(service, index)),
                traffic.handoverState(new SliceRef(service, other)));
    }

    private void applyCommitted(List<SliceOwnershipRow> rows, long version) {
        sync.applyCommitted(rows.stream()
                .map(row -> new Row(row.path(), version, RowCodec.encode(row), false))
                .toList());
    }

    private void pushChangesTo(MemberId newOwner) {
        if (newOwner != null) {
            context.view().members().serving(newOwner).ifPresent(sync::gossipWith);
        }
    }

    private void finish(PeerMessenger.Release release, boolean committed) {
        List<SliceRef> slices = refs(List.of(release));
        slices.forEach(releasing::remove);
        traffic.resume(slices);
        report(List.of(release), PlacementDecision.Kind.MOVE, committed);
    }

    private void report(List<PeerMessenger.Release> releases, PlacementDecision.Kind kind, boolean committed) {
        releases.forEach(release -> report(release, kind, committed));
    }

    private void report(PeerMessenger.Release release, PlacementDecision.Kind kind, boolean committed) {
        context.listener()
                .onPlacement(new PlacementDecision(
                        kind,
                        release.service(),
                        context.self(),
                        release.newOwner(),
                        release.slices().size(),
                        release.reason(),
                        committed));
    }

    /** Returns those slices of releases that this member owns. */
    private List<OwnedSlice> ownedSlices(List<PeerMessenger.Release> releases) {
        BitSet wanted = new BitSet();
        releases.forEach(release -> wanted.or(SliceRuns.bitsOf(release.slices())));
        ServiceName service = releases.get(0).service();
        return SliceRuns.only(context.view().ownedSlices(service, context.self()), wanted);
    }

    private static List<SliceRef> refs(List<PeerMessenger.Release> releases) {
        return releases.stream()
                .flatMap(release -> release.slices().stream().map(index -> new SliceRef(release.service(), index)))
                .toList();
    }
}
