package org.siskindyke.kernel.balance;

import java.util.HashMap;
import java.util.Map;

import org.siskindyke.kernel.id.TargetName;

/**
 * Remembers the targets whose responses said that they leave, also while the table is away or the router beside such a
 * target has restarted and does not know it. Confined to one thread; times are on the monotonic clock.
 */
public final class LeavingTargets {
    /**
     * Fraction of the drain time for which a leaving target of a divided service still gets calls, so that its keys are
     * served while they move.
     */
    public static final double SERVED_SHARE_OF_DRAIN = 0.75;

    /** How long after its last such response a target is left out; another incarnation may take its name later. */
    private static final long REMEMBERED_MILLIS = 30_000;

    private final Map<TargetName, Announcement> announcements = new HashMap<>();

    private record Announcement(long firstMillis, long lastMillis) {
        private boolean isExpired(long nowMillis) {
            return nowMillis - lastMillis >= REMEMBERED_MILLIS;
        }
    }

    /** Records a response in which a target says that it leaves. */
    public void onAnnounced(TargetName target, long nowMillis) {
        announcements.values().removeIf(announcement -> announcement.isExpired(nowMillis));
        announcements.merge(
                target,
                new Announcement(nowMillis, nowMillis),
                (before, now) -> new Announcement(before.firstMillis(), now.lastMillis()));
    }

    /** Returns whether no announcement is remembered; expired ones may still count as remembered. */
    public boolean isEmpty() {
        return announcements.isEmpty();
    }

    /**
     * Returns whether a target has said for some time that it leaves.
     *
     * @param target the target
     * @param sinceMillis the time that must have passed since it said so first
     * @param nowMillis the current time
     */
    public boolean isLeaving(TargetName target, long sinceMillis, long nowMillis) {
        Announcement announcement = announcements.get(target);
        return announcement != null
                && !announcement.isExpired(nowMillis)
                && nowMillis - announcement.firstMillis() >= sinceMillis;
    }
}
