package org.siskindyke.kernel.control;

import java.util.List;
import java.util.Set;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.membership.TargetDeparture;
import org.siskindyke.kernel.table.RowCodec;
import org.siskindyke.kernel.table.RowPath;
import org.siskindyke.kernel.table.Transaction;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Restarts members after one of them has recorded that the backend server beside it leaves. */
class DepartureRecordTest {
    private static final TargetDeparture DEPARTURE = new TargetDeparture(TargetName.of("t"), 1_000);
    private static final InstanceName INSTANCE = InstanceName.of("c");
    private static final MemberAddress ADDRESS = new MemberAddress("127.0.0.1", 1, 2, 3);
    /** Far more rows than members send each other at once. */
    private static final int OTHER_ROWS = 700;

    private static final long LIMIT_MILLIS = 10_000;

    private static FakeWorld newWorld(long seed) {
        FakeWorld world = new FakeWorld(seed, 8, true, FakeWorld.LeaseParts.REAL);
        List.of("a", "b", "c").forEach(instance -> world.start(instance, "domain-" + instance));
        assertNotEquals(-1, world.runUntilServed(LIMIT_MILLIS), world::describe);
        // The members' own rows are among the first that a restarted member learns, the departure among the last.
        for (int i = 0; i < OTHER_ROWS; i++) {
            putDeadMember(world, "dead" + i);
        }
        FakeMember leaving = world.members.get(2);
        leaving.controller().setDepartures(List.of(DEPARTURE));
        assertNotEquals(
                -1,
                world.runUntil(
                        LIMIT_MILLIS,
                        () -> leaving.controller().recordedDepartures().contains(DEPARTURE)));
        world.runFor(LIMIT_MILLIS);
        return world;
    }

    private static void putDeadMember(FakeWorld world, String instance) {
        MemberRow row = new MemberRow(
                MemberId.of(InstanceName.of(instance), 1),
                InstanceName.of(instance),
                FailureDomain.of("domain-a"),
                ADDRESS,
                MemberState.DEAD,
                1,
                MemberId.TABLE,
                List.of(),
                null,
                MemberId.TABLE,
                List.of());
        world.table.commit(Transaction.builder()
                .put(RowPath.member(row.id()), RowCodec.encode(row))
                .build());
    }

    private static Set<TargetDeparture> knownTo(FakeMember member) {
        return member.controller().view().members().departures(INSTANCE, ADDRESS);
    }

    /** Guards against a departure that is forgotten when all processes which knew it end. */
    @Example
    void aDepartureIsKnownAfterAllMembersHaveRestarted() {
        FakeWorld world = newWorld(1);
        world.members.forEach(FakeMember::start);
        FakeMember restarted = world.members.get(2);
        assertNotEquals(
                -1,
                world.runUntil(LIMIT_MILLIS, () -> restarted.controller().rowKnowledge() == RowKnowledge.FROM_TABLE));
        assertEquals(Set.of(DEPARTURE), knownTo(restarted));
    }

    /**
     * Guards against a restarted member that believes to know all rows, though the peer which sent them had restarted
     * as well and lacked some itself.
     */
    @Property(tries = 40, seed = "36")
    void aMemberThatLearnsFromPeersAloneKnowsTheDepartureOnceItCountsAsComplete(
            @ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
        FakeWorld world = newWorld(seed);
        world.tableFaults.down = true;
        List<FakeMember> restarted = world.members.subList(1, 3);
        restarted.forEach(FakeMember::start);
        assertNotEquals(
                -1,
                world.runUntil(
                        LIMIT_MILLIS, () -> restarted.stream().allMatch(DepartureRecordTest::isCompleteWithDeparture)));
    }

    private static boolean isCompleteWithDeparture(FakeMember member) {
        boolean complete = member.controller().rowKnowledge() != RowKnowledge.INCOMPLETE;
        assertTrue(!complete || knownTo(member).contains(DEPARTURE), () -> "lacks rows: " + member.describe());
        return complete;
    }
}
