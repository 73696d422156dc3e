package org.siskindyke.kernel.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
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
        List<SliceRef> slices = refs(release);
        SliceOwnershipRow owned = context.view().ownershipRow(release.service(), context.self());
        boolean ownsAll = ownedSlices(release).size() == release.slices().size();
        boolean noneReleasing = slices.stream().noneMatch(releasing::contains);
        if (slices.isEmpty() || !ownsAll || !noneReleasing || !newOwnerAccepts(release)) {
            report(release, PlacementDecision.Kind.MOVE_REFUSED, false);
            return;
        }
        releasing.addAll(slices);
        RowPath path = owned.path();
        long knownRevision = context.view().revision(path);
        context.whenComplete(context.table().read(path), (row, failure) -> {
            if (failure != null || row.revision() != knownRevision) {
                releasing.removeAll(slices);
                sync.refresh();
                report(release, PlacementDecision.Kind.MOVE_REFUSED, false);
            } else {
                traffic.pause(slices, () -> commit(release, slices));
            }
        });
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

    private void commit(PeerMessenger.Release release, List<SliceRef> slices) {
        ServiceName service = release.service();
        SliceOwnershipRow mine = context.view().ownershipRow(service, context.self());
        List<OwnedSlice> moving = ownedSlices(release);
        boolean isFirst = EraMoves.isFirst(context.view(), moving);
        boolean known = !isFirst || EraMoves.isComplete(context.view(), service);
        if (moving.size() != slices.size() || !newOwnerAccepts(release) || !known) {
            finish(release, slices, false);
            return;
        }
        SliceOwnershipRow rest = mine.minus(new HashSet<>(release.slices()));
        SliceOwnershipRow theirs = (release.newOwner() == null
                        ? context.view().unassigned(service)
                        : context.view().ownershipRow(service, release.newOwner()))
                .plus(moving.stream().map(s -> forNewOwner(service, s)).toList());
        Transaction.Builder transaction = Transaction.builder()
                .replace(rest.path(), context.view().revision(rest.path()), RowCodec.encode(rest))
                .replace(theirs.path(), context.view().revision(theirs.path()), RowCodec.encode(theirs));
        if (release.newOwner() != null) {
            transaction.require(
                    RowPath.member(release.newOwner()), context.view().members().revision(release.newOwner()));
            if (isFirst) {
                EraMoves.rewriteUnassigned(context.view(), service, transaction);
            }
        }
        long era = context.era();
        writer.submit(transaction.build(), context.nowMillis(), outcome -> {
            if (outcome.committed()) {
                applyCommitted(rest, theirs, outcome.version());
                pushChangesTo(release.newOwner());
            }
            sync.refresh();
            if (outcome.committed() || context.era() == era) {
                finish(release, slices, outcome.committed());
            } else {
                retries.add(() -> finishAfterRead(release, slices, theirs.path()));
            }
        });
    }

    /**
     * Ends a release whose outcome is not known since a new era of the table began: the new owner may have seen it
     * committed in the earlier era. Its row says so once it has been written again, or once the new owner is dead.
     */
    private void finishAfterRead(PeerMessenger.Release release, List<SliceRef> slices, RowPath theirs) {
        boolean serving = release.newOwner() != null
                && context.view().members().serving(release.newOwner()).isPresent();
        if (serving && !context.view().isRecordedInPresentEra(release.newOwner())) {
            retries.add(() -> finishAfterRead(release, slices, theirs));
            return;
        }
        context.whenComplete(context.table().read(theirs), (row, failure) -> {
            if (failure == null) {
                sync.applyCommitted(List.of(row));
                finish(release, slices, false);
            } else {
                retries.add(() -> finishAfterRead(release, slices, theirs));
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

    /** Returns the slice for its next owner, which inherits the settle time unless this member has waited it out. */
    private OwnedSlice forNewOwner(ServiceName service, OwnedSlice slice) {
        boolean settled = context.view()
                .ownership()
                .owner(new SliceRef(service, slice.index()))
                .filter(owner -> owner.isUsableBy(context.self(), context.nowMillis()))
                .isPresent();
        return slice.reassignedWithHandover(
                settled ? 0 : slice.settleMillis(),
                traffic.handoverState(new SliceRef(service, slice.index())),
                context.era());
    }

    private void applyCommitted(SliceOwnershipRow rest, SliceOwnershipRow theirs, long version) {
        sync.applyCommitted(List.of(
                new Row(rest.path(), version, RowCodec.encode(rest), false),
                new Row(theirs.path(), version, RowCodec.encode(theirs), false)));
    }

    private void pushChangesTo(MemberId newOwner) {
        if (newOwner != null) {
            context.view().members().serving(newOwner).ifPresent(sync::gossipWith);
        }
    }

    private void finish(PeerMessenger.Release release, List<SliceRef> slices, boolean committed) {
        releasing.removeAll(slices);
        traffic.resume(slices);
        report(release, PlacementDecision.Kind.MOVE, committed);
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

    /** Returns those slices of a release that this member owns. */
    private List<OwnedSlice> ownedSlices(PeerMessenger.Release release) {
        Set<Integer> wanted = new HashSet<>(release.slices());
        return context.view().ownedSlices(release.service(), context.self()).stream()
                .filter(slice -> wanted.contains(slice.index()))
                .toList();
    }

    private static List<SliceRef> refs(PeerMessenger.Release release) {
        return release.slices().stream()
                .map(index -> new SliceRef(release.service(), index))
                .toList();
    }
}
