package org.siskindyke.kernel.control;

import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;
import org.siskindyke.plugin.table.EmbeddedTable;

import static org.junit.jupiter.api.Assertions.assertEquals;

class OrphanTest {
    private static final MemberId SELF = MemberId.of("self:1");
    private static final MemberId X = MemberId.of("x:1");
    private static final MemberId G1 = MemberId.of("g1:1");
    private static final MemberId G2 = MemberId.of("g2:1");

    private final EmbeddedTable table = new EmbeddedTable();
    private final ClusterView view = new ClusterView();
    private long nowMillis;
    private final ControlContext context = new ControlContext(
            SELF,
            ControlSettings.DEFAULT,
            () -> nowMillis,
            new Random(1),
            table,
            null,
            exception -> {
                throw exception;
            },
            view);
    private final TableSync sync = new TableSync(context, FailureDomain.of("d"), rows -> {});
    private final DeadMemberDetector detector =
            new DeadMemberDetector(context, sync, new TableWriter(context), now -> true);

    private void write(MemberId id, MemberState state, long epoch, MemberId grantor) {
        MemberRow row = new MemberRow(
                id,
                InstanceName.of("i"),
                FailureDomain.of("d"),
                new MemberAddress("127.0.0.1", 1, 2, 3),
                state,
                epoch,
                grantor,
                List.of(),
                null,
                null,
                List.of());
        table.commit(Transaction.builder()
                .put(RowPath.member(id), RowCodec.encode(row))
                .build());
        view.apply(
                table.changesSince(view.replica().version(), 100)
                        .toCompletableFuture()
                        .join(),
                nowMillis);
        detector.onMemberRow(row, nowMillis);
    }

    private MemberState stateOfXAfterTick() {
        detector.tick(nowMillis);
        return RowCodec.decode(
                        table.read(RowPath.member(X)).toCompletableFuture().join(), MemberRow.class)
                .state();
    }

    /**
     * Guards against a false declaration: a member whose grantor is dead records a new grantor, which is declared dead
     * as well. The wait must start again, because the new grantor may have renewed the lease.
     */
    @Example
    void aMemberWithANewGrantorIsNotDeclaredDeadWhenTheLeaseFromItsFirstGrantorExpires() {
        write(G1, MemberState.DEAD, 1, MemberId.TABLE);
        write(X, MemberState.ALIVE, 1, G1);
        nowMillis = 1_300;
        write(G2, MemberState.DEAD, 1, MemberId.TABLE);
        write(X, MemberState.ALIVE, 2, G2);
        // Lease and margin (1400 ms) have passed since the first grantor was dead, but not since the second was.
        nowMillis = 2_600;
        assertEquals(MemberState.ALIVE, stateOfXAfterTick());
        // Lease and margin, and the longest additional wait of a member that is far from the orphan on the ring.
        nowMillis = 1_300 + 1_400 + 1_000;
        assertEquals(MemberState.DEAD, stateOfXAfterTick());
    }
}
