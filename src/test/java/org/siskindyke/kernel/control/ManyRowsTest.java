package org.siskindyke.kernel.control;

import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;

import static org.junit.jupiter.api.Assertions.assertTrue;

class ManyRowsTest {
    private static final int ROWS = 4_500;
    private static final long MAX_JOIN_MILLIS = 15_000;

    /** Guards against members that never join, since one answer of the table does not hold all rows. */
    @Example
    void membersJoinThoughTheTableAnswersInSeveralParts() {
        FakeWorld world = new FakeWorld(37, 16, true, FakeWorld.LeaseParts.REAL);
        for (int i = 0; i < ROWS; i++) {
            MemberId ended = MemberId.of("old" + i + ":1");
            world.table.commit(Transaction.builder()
                    .put(
                            RowPath.sliceOwnership(FakeWorld.SERVICE, ended),
                            RowCodec.encode(new SliceOwnershipRow(FakeWorld.SERVICE, ended, List.of())))
                    .build());
        }
        FakeMember first = world.start("a", "d1");
        FakeMember second = world.start("b", "d2");
        assertTrue(
                world.runUntil(
                                MAX_JOIN_MILLIS,
                                () -> first.controller().isJoined()
                                        && second.controller().isJoined())
                        >= 0,
                "not joined");
    }
}
