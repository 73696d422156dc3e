package org.siskindyke.kernel.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.table.Row;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;

/**
 * Declares members dead that have not written their touch row for longer than any member serves without the table.
 *
 * <p>This is the last resort where all members of a cycle of grantors were lost at once: no grantor is left to declare
 * them dead. Each member watches a few of the peers that do not answer its gossip.
 */
final class SilentMemberDetector {
    private static final int MAX_WATCHES = 3;
    private static final int READS_PER_OUTAGE_BOUND = 10;
    private static final int MARGIN_DIVISOR = 8;
    private static final long WATCH_AFTER_MILLIS = 5_000;

    private final ControlContext context;
    private final DeadMemberDetector deadMemberDetector;
    private final Map<MemberId, Long> unansweredSinceMillis = new HashMap<>();
    private final Map<MemberId, Watch> watches = new HashMap<>();

    SilentMemberDetector(ControlContext context, DeadMemberDetector deadMemberDetector) {
        this.context = context;
        this.deadMemberDetector = deadMemberDetector;
    }

    /** The last known revisions of a member's touch row and member row. */
    private static final class Watch {
        private long touchRevision = -1;
        private long memberRevision = -1;
        /** When this member first read these revisions. */
        private long sinceMillis;

        private long nextReadMillis;
    }

    void onGossipSent(MemberId member) {
        unansweredSinceMillis.putIfAbsent(member, context.nowMillis());
    }

    void onGossipAnswered(MemberId member) {
        unansweredSinceMillis.remove(member);
        watches.remove(member);
    }

    void onMemberRow(MemberRow member) {
        if (!member.mayServe()) {
            unansweredSinceMillis.remove(member.id());
            watches.remove(member.id());
        }
    }

    void tick(long nowMillis) {
        if (watches.size() < MAX_WATCHES) {
            unansweredSinceMillis.forEach((member, sinceMillis) -> {
                if (nowMillis - sinceMillis > WATCH_AFTER_MILLIS && watches.size() < MAX_WATCHES) {
                    watches.computeIfAbsent(member, m -> new Watch());
                }
            });
        }
        new TreeMap<>(watches).forEach((member, watch) -> readWhenDue(member, watch, nowMillis));
    }

    private void readWhenDue(MemberId member, Watch watch, long nowMillis) {
        if (nowMillis < watch.nextReadMillis) {
            return;
        }
        watch.nextReadMillis = nowMillis + context.settings().outageBoundMillis() / READS_PER_OUTAGE_BOUND;
        context.whenComplete(context.table().read(RowPath.touch(member)), (row, failure) -> {
            if (failure == null && watches.get(member) == watch) {
                onTouchRead(member, watch, row);
            }
        });
    }

    private void onTouchRead(MemberId member, Watch watch, Row touch) {
        long nowMillis = context.nowMillis();
        long memberRevision = context.view().members().revision(member);
        if (touch.revision() != watch.touchRevision || memberRevision != watch.memberRevision) {
            watch.touchRevision = touch.revision();
            watch.memberRevision = memberRevision;
            watch.sinceMillis = nowMillis;
            return;
        }
        long boundMillis = context.settings().outageBoundMillis();
        if (nowMillis - watch.sinceMillis >= boundMillis + boundMillis / MARGIN_DIVISOR) {
            deadMemberDetector.declareDead(
                    member,
                    "outage bound and margin passed without a write of the touch row",
                    Transaction.builder().require(RowPath.touch(member), watch.touchRevision));
        }
    }
}
