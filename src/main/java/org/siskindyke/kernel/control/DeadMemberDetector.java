package org.siskindyke.kernel.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongPredicate;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.GrantorRing;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;

/**
 * Declares members dead whose lease has surely ended, and assigns their slices to others in the same transaction.
 *
 * <p>Detects members whose grantor is dead (orphans) and members whose grantor is the table and that have stopped
 * renewing their lease there. {@link GranteeMonitor} and {@link SilentMemberDetector} detect others and call
 * {@link #declareDead(MemberId, String)}.
 */
final class DeadMemberDetector {
    /** Number of successors on the ring that watch the touch row of a member whose grantor is the table. */
    private static final int TABLE_WATCHERS = 2;

    private static final long RETRY_MILLIS = 100;

    private final ControlContext context;
    private final TableSync sync;
    private final TableWriter writer;
    /** Returns whether the rows of the table are settled at a time, see {@link EraRecovery}. */
    private final LongPredicate settled;

    private final Set<MemberId> declaring = new HashSet<>();
    private final Map<MemberId, Long> retryAtMillis = new HashMap<>();
    private final Map<MemberId, Orphan> orphans = new HashMap<>();
    private final Map<MemberId, TouchWatch> touchWatches = new HashMap<>();

    DeadMemberDetector(ControlContext context, TableSync sync, TableWriter writer, LongPredicate settled) {
        this.context = context;
        this.sync = sync;
        this.writer = writer;
        this.settled = settled;
    }

    /** The dead grantor of a member, and when this member first knew that the grantor is dead and still recorded. */
    private record Orphan(MemberId grantor, long sinceMillis) {}

    /** The last known revision of the touch row, which a member rewrites to renew its lease at the table. */
    private static final class TouchWatch {
        private long revision = -1;
        /** When this member first read the revision. */
        private long sinceMillis;

        private long nextReadMillis;
        private boolean reading;
    }

    void onMemberRow(MemberRow member, long nowMillis) {
        if (!member.mayServe()) {
            orphans.remove(member.id());
            touchWatches.remove(member.id());
            retryAtMillis.remove(member.id());
            for (MemberId grantee : context.view().members().granteesOf(member.id())) {
                watchOrphan(grantee, member.id(), nowMillis);
            }
            return;
        }
        // Also discards the answer of a read in progress. A member that has just changed its grantor from the table to
        // a peer no longer renews with its touch row. The answer would show that row unchanged, and the declaration,
        // whose condition is the row known now, would succeed.
        touchWatches.remove(member.id());
        if (context.view().members().isDead(member.grantor())) {
            watchOrphan(member.id(), member.grantor(), nowMillis);
        } else {
            orphans.remove(member.id());
        }
    }

    /**
     * Starts the wait for the end of an orphan's lease. Starts it again if the orphan has changed to another grantor,
     * which may have renewed the lease since.
     */
    private void watchOrphan(MemberId member, MemberId grantor, long nowMillis) {
        Orphan watched = orphans.get(member);
        if (watched == null || !watched.grantor().equals(grantor)) {
            orphans.put(member, new Orphan(grantor, nowMillis));
        }
    }

    void tick(long nowMillis) {
        declareOrphans(nowMillis);
        watchTouches(nowMillis);
    }

    /**
     * Declares a member dead on condition that its row is unchanged. Does nothing if the member is this one or is not
     * serving in this view, if a declaration of it is in progress or has only just ended, or if a new era of the table
     * began lately, in which the member may not have written its rows again yet.
     *
     * @param id the member, whose lease must have ended if its row is still as this view knows it
     * @param reason the reason, for the log
     */
    void declareDead(MemberId id, String reason) {
        declareDead(id, reason, Transaction.builder());
    }

    /**
     * Declares a member dead as {@link #declareDead(MemberId, String)} does, if further conditions hold in the table.
     *
     * @param id the member
     * @param reason the reason, for the log
     * @param extraConditions conditions to add to the transaction
     */
    void declareDead(MemberId id, String reason, Transaction.Builder extraConditions) {
        long nowMillis = context.nowMillis();
        Optional<MemberRow> found = context.view().members().serving(id);
        boolean due = found.isPresent()
                && !id.equals(context.self())
                && settled.test(nowMillis)
                && TakeoverPlan.mayDeclareDead(context.view(), found.get())
                && nowMillis >= retryAtMillis.getOrDefault(id, Long.MIN_VALUE);
        if (!due || !declaring.add(id)) {
            return;
        }
        MemberRow dead = found.get();
        TakeoverPlan plan = TakeoverPlan.declareDead(context.view(), dead, context.self(), null);
        Transaction transaction =
                extraConditions.addAll(plan.transaction().build()).build();
        writer.submit(transaction, nowMillis, outcome -> onDeclared(dead, plan, reason, outcome));
    }

    private void onDeclared(MemberRow dead, TakeoverPlan plan, String reason, CommitOutcome outcome) {
        declaring.remove(dead.id());
        retryAtMillis.put(dead.id(), context.nowMillis() + RETRY_MILLIS);
        sync.refresh();
        context.listener()
                .onPlacement(new PlacementDecision(
                        PlacementDecision.Kind.TAKEOVER,
                        null,
                        dead.id(),
                        null,
                        plan.sliceCount(),
                        reason,
                        outcome.committed()));
    }

    private void declareOrphans(long nowMillis) {
        GrantorRing ring = context.view().members().ring();
        long expiryMillis = context.settings().lease().expiryTimeoutMillis();
        for (Map.Entry<MemberId, Orphan> orphan : new TreeMap<>(orphans).entrySet()) {
            long staggerMillis = staggerMillis(ring, orphan.getKey());
            if (nowMillis >= orphan.getValue().sinceMillis() + expiryMillis + staggerMillis) {
                declareDead(orphan.getKey(), "lease and margin passed since the grantor was declared dead");
            }
        }
    }

    /**
     * Returns how much longer this member waits than the lease and margin, so that not all members declare an orphan
     * dead at once. The wait grows with the distance from the orphan on the ring, up to a maximum.
     */
    private long staggerMillis(GrantorRing ring, MemberId orphan) {
        int distance = ring.distance(orphan, context.self());
        return Math.min(distance, TABLE_WATCHERS * 2)
                * context.settings().lease().heartbeatMillis();
    }

    private void watchTouches(long nowMillis) {
        GrantorRing ring = context.view().members().ring();
        for (MemberId id : context.view().members().granteesOf(MemberId.TABLE)) {
            if (!id.equals(context.self()) && ring.distance(id, context.self()) < TABLE_WATCHERS) {
                watchTouch(id, nowMillis);
            }
        }
    }

    private void watchTouch(MemberId id, long nowMillis) {
        TouchWatch watch = touchWatches.computeIfAbsent(id, m -> new TouchWatch());
        if (watch.reading || nowMillis < watch.nextReadMillis) {
            return;
        }
        watch.reading = true;
        watch.nextReadMillis = nowMillis + context.settings().lease().heartbeatMillis();
        context.whenComplete(context.table().read(RowPath.touch(id)), (row, failure) -> {
            watch.reading = false;
            boolean stillWatched = touchWatches.get(id) == watch;
            if (failure == null && stillWatched) {
                onTouchRead(id, watch, row);
            }
        });
    }

    private void onTouchRead(MemberId id, TouchWatch watch, Row row) {
        long nowMillis = context.nowMillis();
        if (row.revision() != watch.revision) {
            watch.revision = row.revision();
            watch.sinceMillis = nowMillis;
            return;
        }
        if (nowMillis - watch.sinceMillis >= context.settings().lease().expiryTimeoutMillis()) {
            declareDead(
                    id,
                    "lease and margin passed without a write of the touch row",
                    Transaction.builder().require(RowPath.touch(id), watch.revision));
        }
    }
}
