package org.siskindyke.kernel.control;

import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.siskindyke.kernel.control.FakeWorld.LeaseParts;
import org.siskindyke.kernel.crash.CrashInvestigation.Loss;
import org.siskindyke.kernel.crash.RequestFingerprint;
import org.siskindyke.kernel.crash.TargetIncarnation;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.TargetName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that all members refuse a request within 3 s of its conviction, which the users' platform asks for. */
class SuspectSpreadTest {
    private static final int MEMBERS = 12;
    private static final long BOUND_MILLIS = 3_000;
    private static final long START_LIMIT_MILLIS = 20_000;
    private static final ClientAccount CALLER = ClientAccount.of("catalogue");
    private static final RequestFingerprint REQUEST = new RequestFingerprint(1, 2);
    private static final List<String> DOMAINS = List.of("a", "b", "c");

    private static FakeWorld cluster(long seed) {
        FakeWorld world = new FakeWorld(seed, 12, true, LeaseParts.REAL);
        for (int i = 0; i < MEMBERS; i++) {
            world.start("m" + i, DOMAINS.get(i % DOMAINS.size()));
        }
        assertTrue(world.runUntilServed(START_LIMIT_MILLIS) >= 0, "slices are not served after the start");
        world.runFor(2_000);
        return world;
    }

    private static void crash(FakeWorld world, int member, long startMillis) {
        TargetIncarnation target = new TargetIncarnation(TargetName.of("t" + member), startMillis);
        world.members.get(member).controller().onCrash(target, List.of(new Loss(REQUEST, CALLER, false, 0)));
    }

    private static void convict(FakeWorld world) {
        crash(world, 0, 1);
        crash(world, 1, 1);
    }

    private static boolean refuses(FakeMember member) {
        return member.controller().view().suspects().isConvicted(REQUEST, member.clockMillis());
    }

    private static void assertAllRefuse(FakeWorld world) {
        List<String> others = world.members.stream()
                .filter(m -> !m.isGone() && !refuses(m))
                .map(FakeMember::instance)
                .toList();
        assertEquals(List.of(), others, "members that do not refuse the request");
    }

    @Property(tries = 20, seed = "81", shrinking = ShrinkingMode.OFF)
    void allMembersRefuseWithinTheBoundWhileTheTableIsDown(@ForAll long seed) {
        FakeWorld world = cluster(seed);
        world.tableFaults.down = true;
        convict(world);
        world.runFor(BOUND_MILLIS);
        assertAllRefuse(world);
    }

    @Property(tries = 20, seed = "82", shrinking = ShrinkingMode.OFF)
    void allMembersRefuseWithinTheBoundOnALossyNetwork(@ForAll long seed) {
        FakeWorld world = cluster(seed);
        world.network.lossPercent = 20;
        convict(world);
        world.runFor(BOUND_MILLIS);
        assertAllRefuse(world);
    }

    @Property(tries = 20, seed = "83", shrinking = ShrinkingMode.OFF)
    void aMemberThatWasCutOffRefusesWithinTheBoundOfItsReturn(@ForAll long seed) {
        FakeWorld world = cluster(seed);
        for (int i = 0; i < MEMBERS - 1; i++) {
            world.network.cut.add("m" + i + ">m" + (MEMBERS - 1));
            world.network.cut.add("m" + (MEMBERS - 1) + ">m" + i);
        }
        convict(world);
        world.runFor(BOUND_MILLIS);
        world.network.cut.clear();
        world.runFor(BOUND_MILLIS);
        assertAllRefuse(world);
    }

    /** Guards against evidence that misses members which others do not know yet, since the table fell silent. */
    @Property(tries = 50, seed = "84", shrinking = ShrinkingMode.OFF)
    void membersThatJoinedJustBeforeTheTableWentDownRefuseWithinTheBound(@ForAll long seed) {
        FakeWorld world = cluster(seed);
        List<FakeMember> late = List.of(world.start("m-late0", "a"), world.start("m-late1", "b"));
        long joinMillis = world.runUntil(
                START_LIMIT_MILLIS,
                () -> late.stream().allMatch(m -> m.controller().isJoined()));
        assertTrue(joinMillis >= 0, "members have not joined");
        world.tableFaults.down = true;
        convict(world);
        world.runFor(BOUND_MILLIS);
        assertAllRefuse(world);
    }

    @Example
    void aMemberThatStartsLaterRefusesWithinTheBoundOfItsStart() {
        FakeWorld world = cluster(1);
        convict(world);
        world.runFor(BOUND_MILLIS);
        world.start("m-late", "a");
        world.runFor(BOUND_MILLIS);
        assertAllRefuse(world);
    }

    @Example
    void aConvictionOutlastsTheLossOfAllMembers() {
        FakeWorld world = cluster(2);
        convict(world);
        world.runFor(BOUND_MILLIS);
        world.members.forEach(FakeMember::lose);
        FakeMember successor = world.start("m-new", "a");
        world.runFor(BOUND_MILLIS);
        assertTrue(refuses(successor));
    }

    @Example
    void theRowOfAConvictionIsDeletedOnceItHasExpired() {
        FakeWorld world = cluster(3);
        convict(world);
        world.runFor(BOUND_MILLIS);
        assertEquals(1, suspectRows(world));
        world.runFor(900_000);
        assertEquals(0, suspectRows(world));
        assertTrue(world.members.stream().noneMatch(SuspectSpreadTest::refuses));
    }

    private static long suspectRows(FakeWorld world) {
        return world.table.list("suspects/", 100).toCompletableFuture().join().stream()
                .filter(row -> !row.deleted())
                .count();
    }
}
