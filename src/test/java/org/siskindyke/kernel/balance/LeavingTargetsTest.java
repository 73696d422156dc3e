package org.siskindyke.kernel.balance;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.TargetName;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LeavingTargetsTest {
    private static final TargetName TARGET = TargetName.of("i-1");
    private final LeavingTargets leaving = new LeavingTargets();

    @Example
    void aTargetLeavesFromItsFirstAnnouncementOn() {
        assertFalse(leaving.isLeaving(TARGET, 0, 0));
        leaving.onAnnounced(TARGET, 100);
        assertTrue(leaving.isLeaving(TARGET, 0, 100));
        assertFalse(leaving.isLeaving(TARGET, 1_500, 1_599));
        leaving.onAnnounced(TARGET, 1_500);
        assertTrue(leaving.isLeaving(TARGET, 1_500, 1_600));
    }

    /** Guards against a later incarnation of the same name that never gets a request. */
    @Example
    void anAnnouncementExpires() {
        leaving.onAnnounced(TARGET, 0);
        assertTrue(leaving.isLeaving(TARGET, 0, 29_999));
        assertFalse(leaving.isLeaving(TARGET, 0, 30_000));
    }
}
