package org.siskindyke.kernel.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongPredicate;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.GrantDecision;
import org.siskindyke.kernel.membership.HolderLease;
import org.siskindyke.kernel.membership.LeaseSettings;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.membership.TargetDeparture;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.TableEra;
import org.siskindyke.kernel.table.Transaction;

/**
 * Maintains this member's row and lease: joins the table, renews the lease, replaces the grantor and ends the member
 * when the table declares it dead.
 *
 * <p>Whatever its grantor, a member also writes its touch row now and then, which shows that it reaches the table and
 * so extends the outage bound of its lease. Where the grantor is the table, these writes renew the lease as well.
 */
final class MemberRegistration {
    private static final long TABLE_GRANTOR_REVIEW_MILLIS = 1_000;
    private static final long GRANTOR_REVIEW_MILLIS = 5_000;
    private static final int NEAR_CANDIDATES = 3;
    /** Minimum number of writes of the touch row within the outage bound while the table answers. */
    private static final int TOUCHES_PER_OUTAGE_BOUND = 8;

    private static final long FALLBACK_MARGIN_MILLIS = 800;
    private static final long RETRY_RENEWAL_MILLIS = 60;
    private static final long RETRY_WRITE_MILLIS = 100;

    private final ControlContext context;
    private final TableSync sync;
    private final TableWriter writer;
    private final HolderLease lease;
    private MemberRow row;
    /** Revision of this member's row; 0 before it has joined. */
    private long revision;

    private long joinedRevision;
    private PredecessorFinder predecessorFinder = PredecessorFinder.NONE;
    private LongPredicate settled = nowMillis -> false;
    /** Change count of the member directory at which there was no predecessor to take over from. */
    private long noPredecessorAsOfChanges = -1;

    private GrantorSearch search;
    /** Whether the row is being created or replaced and the outcome is not known yet. */
    private boolean writing;

    private boolean ended;
    private List<TargetAnnouncement> wantedTargets = List.of();
    private List<TargetDeparture> wantedDepartures = List.of();
    private boolean leaving;
    private long nextRenewalMillis;
    private long nextReviewMillis;
    private long nextWriteMillis;
    private long nextTouchMillis;
    private long touchCount;

    MemberRegistration(
            ControlContext context, TableSync sync, TableWriter writer, MemberRow template, HolderLease lease) {
        this.lease = lease;
        this.context = context;
        this.sync = sync;
        this.writer = writer;
        this.row = template;
        this.wantedTargets = template.targets();
        this.wantedDepartures = template.departures();
    }

    /** Finds members of the same instance whose process has provably ended. */
    @FunctionalInterface
    interface PredecessorFinder {
        PredecessorFinder NONE = view -> Optional.empty();

        /** Returns a predecessor whose process has ended and that is not yet declared dead. */
        Optional<MemberRow> find(ClusterView view);
    }

    /** Sets the test of whether the rows of the table are settled at a time, see {@link EraRecovery}. */
    void setSettled(LongPredicate test) {
        settled = test;
    }

    void setPredecessorFinder(PredecessorFinder finder) {
        predecessorFinder = finder;
    }

    MemberRow row() {
        return row;
    }

    HolderLease lease() {
        return lease;
    }

    boolean isJoined() {
        return revision > 0 && !ended;
    }

    /** Returns the table version at which this member joined. */
    long joinedRevision() {
        return joinedRevision;
    }

    boolean isEnded() {
        return ended;
    }

    void setTargets(List<TargetAnnouncement> targets) {
        wantedTargets = List.copyOf(targets);
    }

    void setDepartures(List<TargetDeparture> departures) {
        wantedDepartures = List.copyOf(departures);
    }

    void setLeaving() {
        leaving = true;
    }

    boolean isLeavingRecorded() {
        return isJoined() && row.state() == MemberState.LEAVING;
    }

    void tick(long nowMillis) {
        if (ended || !sync.isSynced()) {
            return;
        }
        if (search != null && !search.isFinished()) {
            search.tick(nowMillis);
        }
        if (!isJoined()) {
            startJoin(nowMillis);
            return;
        }
        renewWhenDue(nowMillis);
        touchWhenDue(nowMillis);
        updateRowWhenNeeded(nowMillis);
        takeOverFromEarlierEra(nowMillis);
        reviewGrantor(nowMillis);
    }

    /** Ends this member if its row in the table says that it is dead. */
    void onOwnRow(MemberRow stored) {
        if (stored.state() == MemberState.DEAD && !ended) {
            end(stored.declaredBy());
        }
    }

    /** Invalidates the lease and requests a renewal on the next tick. */
    void invalidateLease() {
        lease.invalidate();
        nextRenewalMillis = context.nowMillis();
        context.listener().onLeaseChanged(Long.MIN_VALUE);
    }

    private void end(MemberId declaredBy) {
        ended = true;
        lease.end();
        context.listener().onLeaseChanged(Long.MIN_VALUE);
        context.listener().onDeclaredDead(declaredBy);
    }

    // Joining

    private void startJoin(long nowMillis) {
        if (writing || nowMillis < nextWriteMillis || search != null && !search.isFinished()) {
            return;
        }
        MemberId endedPredecessor =
                predecessorFinder.find(context.view()).map(MemberRow::id).orElse(null);
        search = new GrantorSearch(context, row.failureDomain(), endedPredecessor, this::join);
        search.start();
    }

    /**
     * Returns the targets to join with: those announced, or those of the predecessor where no backend server has sent a
     * heartbeat yet. The predecessor's backend servers may still have grants for their slices, and a member that joins
     * without a target gets no slices: they would go to other members at once.
     */
    static List<TargetAnnouncement> targetsAtJoin(List<TargetAnnouncement> announced, Optional<MemberRow> predecessor) {
        return announced.isEmpty() ? predecessor.map(MemberRow::targets).orElse(announced) : announced;
    }

    /**
     * Joins the table, and takes over from a predecessor in the same transaction where the view knows enough. A member
     * that has joined in an earlier era, but did not get the answer, may have read which slices it got by that; it
     * records them again.
     */
    private void join(MemberId grantor) {
        Optional<MemberRow> known = predecessorFinder.find(context.view());
        wantedTargets = targetsAtJoin(wantedTargets, known);
        List<Row> ownFromEarlierEra = EraRecovery.rowsOf(context.view(), row.id(), context.era()).stream()
                .filter(earlier -> earlier.path().isIn(RowPath.SLICE_OWNERSHIPS))
                .toList();
        Optional<MemberRow> endedPredecessor = known.filter(member -> ownFromEarlierEra.isEmpty())
                .filter(member -> context.view().isRecordedInPresentEra(member.id()))
                .filter(member -> TakeoverPlan.mayDeclareDead(context.view(), member));
        MemberRow joining = new MemberRow(
                row.id(),
                row.instance(),
                row.failureDomain(),
                row.address(),
                MemberState.ALIVE,
                1,
                grantor,
                wantedTargets,
                row.process(),
                null,
                wantedDepartures);
        Transaction.Builder transaction =
                Transaction.builder().replace(RowPath.member(row.id()), 0, RowCodec.encode(joining));
        transaction.addAll(EraRecovery.writeAgain(ownFromEarlierEra));
        Optional<TakeoverPlan> takeover =
                endedPredecessor.map(member -> TakeoverPlan.declareDead(context.view(), member, row.id(), joining));
        takeover.ifPresent(plan -> transaction.addAll(plan.transaction().build()));
        writing = true;
        long sentMillis = context.nowMillis();
        writer.submit(transaction.build(), sentMillis, outcome -> {
            if (outcome.committed()) {
                extendOutageBound(sentMillis);
            }
            onRowWritten(joining, outcome);
            takeover.ifPresent(plan -> reportTakeover(endedPredecessor.get(), plan, outcome));
        });
    }

    /**
     * Takes over the slices of a predecessor whose rows are of an earlier era of the table, once those that know which
     * of these slices have moved since have written their rows again. A table without eras is never restored.
     */
    private void takeOverFromEarlierEra(long nowMillis) {
        long changes = context.view().members().changeCount();
        boolean mayHavePredecessor = context.era() > 0 && changes != noPredecessorAsOfChanges;
        if (!mayHavePredecessor || writing || nowMillis < nextWriteMillis || !settled.test(nowMillis)) {
            return;
        }
        Optional<MemberRow> predecessor = predecessorFinder.find(context.view());
        if (predecessor.isEmpty()) {
            noPredecessorAsOfChanges = changes;
            return;
        }
        if (!TakeoverPlan.mayDeclareDead(context.view(), predecessor.get())) {
            return;
        }
        nextWriteMillis = nowMillis + RETRY_WRITE_MILLIS;
        TakeoverPlan plan = TakeoverPlan.declareDead(context.view(), predecessor.get(), row.id(), row);
        writing = true;
        writer.submit(plan.transaction().build(), nowMillis, outcome -> {
            writing = false;
            sync.refresh();
            reportTakeover(predecessor.get(), plan, outcome);
        });
    }

    private void reportTakeover(MemberRow endedPredecessor, TakeoverPlan plan, CommitOutcome outcome) {
        context.listener()
                .onPlacement(new PlacementDecision(
                        PlacementDecision.Kind.TAKEOVER,
                        null,
                        endedPredecessor.id(),
                        row.id(),
                        plan.sliceCount(),
                        "previous process of the instance has ended",
                        outcome.committed()));
    }

    // Renewing

    /** Requests a renewal from the grantor; where that is the table, makes the write of the touch row due instead. */
    private void renewWhenDue(long nowMillis) {
        if (nowMillis < nextRenewalMillis) {
            return;
        }
        nextRenewalMillis = nowMillis + leaseSettings().heartbeatMillis();
        if (lease.grantor().equals(MemberId.TABLE)) {
            nextTouchMillis = nowMillis;
        } else {
            context.view().members().serving(lease.grantor()).ifPresent(grantor -> renew(grantor, nowMillis));
        }
    }

    private void touchWhenDue(long nowMillis) {
        if (nowMillis >= nextTouchMillis) {
            scheduleTouch(nowMillis);
            touch(nowMillis);
        }
    }

    private void scheduleTouch(long nowMillis) {
        long intervalMillis = context.settings().outageBoundMillis() / TOUCHES_PER_OUTAGE_BOUND;
        nextTouchMillis = nowMillis + intervalMillis / 2 + context.random().nextLong(intervalMillis / 2);
    }

    private void extendOutageBound(long reachedMillis) {
        lease.extendOutageBound(reachedMillis + context.settings().outageBoundMillis());
    }

    private void renew(MemberRow grantor, long nowMillis) {
        long epoch = lease.epoch();
        PeerMessenger.Renewal renewal =
                new PeerMessenger.Renewal(row.id(), epoch, lease.beginRenewal(nowMillis), false);
        context.peers().renew(grantor, renewal, reply -> onRenewalReply(grantor.id(), epoch, reply));
    }

    private void onRenewalReply(MemberId grantor, long epoch, PeerMessenger.RenewalReply reply) {
        if (ended || epoch != lease.epoch()) {
            return;
        }
        long nowMillis = context.nowMillis();
        GrantDecision decision = reply.decision();
        if (decision.isGranted()) {
            if (lease.onGranted(reply.sequence(), epoch, reply.leaseMillis(), nowMillis)) {
                context.listener().onLeaseChanged(lease.leaseEndMillis());
            }
        } else if (decision == GrantDecision.UNKNOWN_EPOCH) {
            nextRenewalMillis = Math.min(nextRenewalMillis, nowMillis + RETRY_RENEWAL_MILLIS);
        } else {
            context.listener().onRenewalRefused(grantor, decision);
        }
        boolean needsOtherGrantor = decision == GrantDecision.GRANTED_LEAVING
                || decision == GrantDecision.CLOSED
                || decision == GrantDecision.GIVEN_UP;
        if (needsOtherGrantor) {
            replaceGrantor(grantor);
        }
    }

    /** Writes the touch row on condition that this member's row is unchanged, that is, it was not declared dead. */
    private void touch(long nowMillis) {
        long epoch = lease.epoch();
        long sequence = lease.beginRenewal(nowMillis);
        Transaction touch = Transaction.builder()
                .require(RowPath.member(row.id()), revision)
                .put(RowPath.touch(row.id()), RowCodec.encode(new TouchRow(++touchCount)))
                .build();
        context.whenComplete(context.table().commit(touch), (result, failure) -> {
            if (failure == null && !ended) {
                onTouched(result.committed(), epoch, sequence, nowMillis);
            }
        });
    }

    private void onTouched(boolean committed, long epoch, long sequence, long sentMillis) {
        if (!committed) {
            sync.fetch(RowPath.member(row.id()));
            return;
        }
        extendOutageBound(sentMillis);
        if (lease.grantor().equals(MemberId.TABLE)) {
            lease.onGranted(sequence, epoch, leaseSettings().leaseMillis(), context.nowMillis());
        }
        context.listener().onLeaseChanged(lease.leaseEndMillis());
    }

    private record TouchRow(long count) {}

    // Replacing the row

    /** Searches for another grantor if the present one is the table, is silent, or is no longer near on the ring. */
    private void reviewGrantor(long nowMillis) {
        if (lease.grantor().equals(MemberId.TABLE)) {
            if (nowMillis >= nextReviewMillis) {
                nextReviewMillis = nowMillis + TABLE_GRANTOR_REVIEW_MILLIS;
                replaceGrantor(null);
            }
        } else if (nowMillis - lease.lastGrantMillis() > leaseSettings().replaceAfterMillis()) {
            replaceGrantor(lease.grantor());
        } else if (nowMillis >= nextReviewMillis) {
            nextReviewMillis =
                    nowMillis + GRANTOR_REVIEW_MILLIS + context.random().nextLong(GRANTOR_REVIEW_MILLIS);
            replaceByNearerGrantor();
        }
    }

    /** Replaces the grantor if it is no longer a near candidate on the ring, because members have joined or ended. */
    private void replaceByNearerGrantor() {
        List<MemberRow> near =
                context.view().members().ring().candidates(row.id(), row.failureDomain(), NEAR_CANDIDATES);
        boolean isNear = near.stream().anyMatch(m -> m.id().equals(lease.grantor()));
        if (!near.isEmpty() && !isNear) {
            replaceGrantor(null);
        }
    }

    /**
     * Starts a search for another grantor, unless a search or a write of the row is in progress or a write has just
     * failed.
     *
     * @param excluded a member not to probe; null for none
     */
    private void replaceGrantor(MemberId excluded) {
        if (writing || search != null && !search.isFinished() || context.nowMillis() < nextWriteMillis) {
            return;
        }
        search = new GrantorSearch(context, row.failureDomain(), excluded, this::onReplacementFound);
        search.start();
    }

    private void onReplacementFound(MemberId grantor) {
        boolean allowed = !grantor.equals(MemberId.TABLE) || mayFallBackToTable(context.nowMillis());
        if (!grantor.equals(lease.grantor()) && !writing && allowed) {
            replaceRow(row.withGrantor(grantor));
        }
    }

    /**
     * Returns whether this member may renew its lease at the table because no member is willing to be its grantor.
     * Where several others exist, it waits until its grantor would have declared it dead: if they are alive, this
     * member is partitioned from them and its slices must go to them.
     */
    private boolean mayFallBackToTable(long nowMillis) {
        long silentMillis = nowMillis - lease.lastGrantMillis();
        int others = context.view().members().ring().members().size() - 1;
        return others > 1
                ? silentMillis > leaseSettings().expiryTimeoutMillis() + FALLBACK_MARGIN_MILLIS
                : silentMillis > leaseSettings().replaceAfterMillis();
    }

    private void updateRowWhenNeeded(long nowMillis) {
        if (writing || nowMillis < nextWriteMillis) {
            return;
        }
        if (isOfEarlierEra()) {
            writeAgain(nowMillis);
        } else if (leaving && row.state() == MemberState.ALIVE) {
            replaceRow(row.withState(MemberState.LEAVING, null));
        } else if (!wantedTargets.equals(row.targets()) || !wantedDepartures.equals(row.departures())) {
            replaceRow(row.withTargets(wantedTargets, wantedDepartures));
        }
    }

    /** Returns whether the table has lost this member's row, as far as is known. */
    private boolean isOfEarlierEra() {
        return TableEra.of(revision) < context.era();
    }

    /**
     * Writes this member's rows again after a loss. Where another member has done so meanwhile, takes over its rows
     * and then writes what is different.
     */
    private void writeAgain(long nowMillis) {
        long stored = context.view().members().revision(row.id());
        if (TableEra.of(stored) == context.era()) {
            adoptStoredRow(stored);
            return;
        }
        if (!context.hasReadPresentEra()) {
            // Until then, rows of earlier eras may arrive that list slices which the rows written would lack.
            return;
        }
        if (!lease.isValid(nowMillis) && !settled.test(nowMillis)) {
            // This member may have been declared dead, which others then write again.
            return;
        }
        writing = true;
        Row own = new Row(RowPath.member(row.id()), revision, RowCodec.encode(row), false);
        List<Row> rows = new ArrayList<>(List.of(own));
        EraRecovery.rowsOf(context.view(), row.id(), context.era()).stream()
                .filter(known -> !known.path().equals(own.path()))
                .forEach(rows::add);
        Transaction transaction = EraRecovery.writeAgain(rows);
        writer.submit(transaction, nowMillis, outcome -> onWrittenAgain(transaction, outcome));
    }

    private void adoptStoredRow(long storedRevision) {
        revision = storedRevision;
        MemberRow stored = RowCodec.decode(context.view().replica().get(RowPath.member(row.id())), MemberRow.class);
        if (!stored.equals(row)) {
            replaceRow(row);
        }
    }

    private void onWrittenAgain(Transaction transaction, CommitOutcome outcome) {
        writing = false;
        if (ended) {
            return;
        }
        context.listener().onRowsWrittenAgain(row.id(), outcome.committed());
        if (outcome.committed()) {
            revision = outcome.version();
            sync.applyCommitted(transaction, outcome.version());
        } else {
            nextWriteMillis = context.nowMillis() + RETRY_WRITE_MILLIS;
            transaction.writes().forEach(lost -> sync.fetch(lost.path()));
        }
        sync.refresh();
    }

    /**
     * Replaces this member's row; where its grantor changes, once the table has answered a read. Without that read, an
     * outage of the table would leave the member with a write of unknown outcome, during which it accepts no renewals.
     */
    private void replaceRow(MemberRow replacement) {
        writing = true;
        if (replacement.epoch() == row.epoch()) {
            writeRow(replacement);
            return;
        }
        context.whenComplete(context.table().read(RowPath.member(row.id())), (stored, failure) -> {
            if (failure != null || ended || isOfEarlierEra()) {
                writing = false;
                nextWriteMillis = context.nowMillis() + RETRY_WRITE_MILLIS;
                return;
            }
            if (stored.revision() != revision) {
                writing = false;
                acceptStoredRow(stored);
                return;
            }
            lease.suspendRenewals();
            writeRow(replacement);
        });
    }

    private void writeRow(MemberRow replacement) {
        Transaction transaction = Transaction.builder()
                .replace(RowPath.member(row.id()), revision, RowCodec.encode(replacement))
                .build();
        writer.submit(transaction, context.nowMillis(), outcome -> onRowWritten(replacement, outcome));
    }

    private void acceptStoredRow(Row stored) {
        if (stored.deleted()) {
            end(null);
            return;
        }
        sync.applyCommitted(List.of(stored));
        // A stored value that is not readable leaves the known one in force.
        Row known = context.view().replica().get(stored.path());
        if (!ended && !known.deleted()) {
            onOwnRow(RowCodec.decode(known, MemberRow.class));
        }
    }

    private void onRowWritten(MemberRow written, CommitOutcome outcome) {
        writing = false;
        if (ended) {
            return;
        }
        if (!outcome.committed()) {
            lease.resumeRenewals();
            nextWriteMillis = context.nowMillis() + RETRY_WRITE_MILLIS;
            sync.refresh();
            sync.fetch(RowPath.member(row.id()));
            return;
        }
        MemberRow before = revision == 0 ? null : row;
        row = written;
        revision = outcome.version();
        sync.applyCommitted(List.of(new Row(RowPath.member(row.id()), revision, RowCodec.encode(row), false)));
        sync.refresh();
        if (before == null || before.epoch() != row.epoch()) {
            onGrantorRecorded(before);
        }
    }

    private void onGrantorRecorded(MemberRow before) {
        lease.setGrantor(row.grantor(), row.epoch(), context.nowMillis());
        nextRenewalMillis = context.nowMillis();
        if (before == null) {
            // The write that joined has shown that the table is reached, as a touch would.
            scheduleTouch(context.nowMillis());
            joinedRevision = revision;
            context.listener().onJoined(row.grantor());
        } else {
            context.listener().onGrantorReplaced(before.grantor(), row.grantor());
        }
    }

    private LeaseSettings leaseSettings() {
        return context.settings().lease();
    }
}
