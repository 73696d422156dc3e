package org.siskindyke.platform;

import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.siskindyke.kernel.balance.ServerLoad;
import org.siskindyke.kernel.balance.ServerLoadTracker;
import org.siskindyke.kernel.balance.TargetLoadReport;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.runtime.peer.WireMapper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** The load that backend servers announce, from their responses to the other routers. */
class ServerLoadTest {
    private final PlatformDialect dialect = new PlatformDialect();

    private ServerLoadTracker.Announcement read(String value) {
        return dialect.serverLoad(List.of(new Header("x-siskindyke-server-load", value)));
    }

    @Example
    void threeOrFourNumbersAreRead() {
        assertEquals(new ServerLoadTracker.Announcement(3, 1, 4, 137.5), read("3, 1,4 , 137.5"));
        ServerLoadTracker.Announcement short3 = read("3,1,4");
        assertEquals(4, short3.slots());
        assertTrue(Double.isNaN(short3.workPercent()));
    }

    /** Guards against a response that is lost, or a load that is made up, because of a malformed field. */
    @Example
    void malformedAnnouncementsAreIgnored() {
        for (String value :
                List.of("", "3", "3,1", "3,1,4,100,2", "3,1,x", "-1,0,4", "3,1,4,NaN", "3,1,4,", "3,1,4,0")) {
            assertNull(read(value), value);
        }
        assertNull(dialect.serverLoad(List.of()));
    }

    @Property(tries = 200, seed = "18")
    void anyTextIsReadOrIgnored(@ForAll String value) {
        ServerLoadTracker.Announcement announcement = read(value);
        assertTrue(announcement == null || announcement.running() >= 0);
    }

    @Example
    void otherRoutersReceiveTheLoad() {
        ServerLoad server = new ServerLoad(3, 1, 4, 137);
        for (TargetLoadReport report :
                List.of(new TargetLoadReport(4, 3, 9, 120, 0, server), new TargetLoadReport(4, 3, 9, 120, 0))) {
            Reply reply = Reply.answer(200, List.of(), new byte[0]).withLoad(report);
            assertEquals(
                    report,
                    WireMapper.fromWire(WireMapper.toWire("call", reply)).load());
        }
    }

    /** Guards against reports of a load that has passed, and against a host's usual slowness that counts twice. */
    @Example
    void theTrackerReportsRecentLoadAndSlownessInRelationToTheAverage() {
        ServerLoadTracker tracker = new ServerLoadTracker();
        assertNull(tracker.report(0));
        for (int i = 0; i < 100; i++) {
            tracker.onAnnounced(new ServerLoadTracker.Announcement(2, 0, 4, 150), i);
        }
        assertEquals(new ServerLoad(2, 0, 4, 100), tracker.report(100));
        tracker.onAnnounced(new ServerLoadTracker.Announcement(4, 2, 4, 300), 100);
        assertTrue(tracker.report(100).slownessPercent() > 150);
        assertNull(tracker.report(1_100));
        tracker.reset();
        assertNull(tracker.report(100));
    }
}
