package org.siskindyke.kernel.grant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.siskindyke.kernel.grant.GrantReply.GrantedRange;
import org.siskindyke.kernel.grant.TargetHeartbeat.ActiveRange;
import org.siskindyke.kernel.grant.TargetHeartbeat.ReleasedRange;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.ownership.KeyRange;
import org.siskindyke.kernel.ownership.OwnedSlice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TargetGrantsTest {
    private static final int SLICES = 8;
    private static final int KEYS_PER_SLICE = KeyRange.KEY_COUNT / SLICES;
    private static final long LONG_LEASE = 1_000_000;
    private static final long HOLD_MILLIS = 3_000;
    private final TargetGrants grants = new TargetGrants(SLICES, HOLD_MILLIS, 0);

    private static TargetHeartbeat heartbeat(long born, long sequence, List<ActiveRange> held) {
        return heartbeat(born, sequence, held, List.of());
    }

    private static TargetHeartbeat heartbeat(
            long born, long sequence, List<ActiveRange> held, List<ReleasedRange> released) {
        return new TargetHeartbeat(
                ServiceName.of("haat"), TargetName.of("i-1"), 4, false, 0, born, sequence, held, released);
    }

    private static List<OwnedSlice> slices(long generation, int... indexes) {
        List<OwnedSlice> slices = new ArrayList<>();
        for (int index : indexes) {
            slices.add(new OwnedSlice(index, generation, 0));
        }
        return slices;
    }

    private static List<ActiveRange> holding(GrantReply reply) {
        return reply.ranges().stream()
                .map(r -> new ActiveRange(r.first(), r.last(), r.token()))
                .toList();
    }

    @Example
    void neighbouringSlicesOfOneTokenAreOneRange() {
        GrantReply reply = grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0, 1, 4), LONG_LEASE, 0);
        assertEquals(2, reply.ranges().size());
        assertEquals(2 * KEYS_PER_SLICE - 1, reply.ranges().get(0).last());
    }

    @Example
    void aHoldNeverOutlastsTheLease() {
        GrantReply reply = grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0), 2_000, 1_000);
        assertTrue(reply.grantMillis() * 1.02 < 1_000);
    }

    @Example
    void withoutALeaseNothingIsRenewed() {
        assertFalse(grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0), 500, 1_000)
                .renews());
    }

    @Example
    void aNewLifeGetsAHigherTokenAndAnOldLifeIsOutdated() {
        GrantReply first = grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0), LONG_LEASE, 0);
        GrantReply second = grants.onHeartbeat(heartbeat(2, 1, List.of()), slices(3, 0), LONG_LEASE, 10);
        assertTrue(second.ranges().get(0).token() > first.ranges().get(0).token());
        assertFalse(grants.isCurrent(heartbeat(1, 99, List.of())));
        assertFalse(grants.isCurrent(heartbeat(2, 1, List.of())));
    }

    @Example
    void aRestartedRouterGoesOnWithTheTokenThatItsPredecessorGranted() {
        GrantReply before = grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0, 1), LONG_LEASE, 0);
        TargetGrants restarted = new TargetGrants(SLICES, HOLD_MILLIS, 0);
        GrantReply after = restarted.onHeartbeat(heartbeat(1, 2, holding(before)), slices(4, 0, 1), LONG_LEASE, 0);
        assertEquals(before.ranges(), after.ranges());
    }

    @Example
    void aRevokedSliceIsFreeOnceAHeartbeatAfterTheOmissionDoesNotHoldIt() {
        GrantReply reply = grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0, 1), LONG_LEASE, 0);
        int[] released = new int[1];
        grants.revoke(List.of(1), 10, () -> released[0]++);
        GrantReply omitting = grants.onHeartbeat(heartbeat(1, 2, holding(reply)), slices(3, 0, 1), LONG_LEASE, 20);
        assertEquals(KEYS_PER_SLICE - 1, omitting.ranges().get(0).last());
        grants.onHeartbeat(heartbeat(1, 3, holding(reply)), slices(3, 0, 1), LONG_LEASE, 30);
        assertEquals(0, released[0]);
        ReleasedRange freed = new ReleasedRange(KEYS_PER_SLICE, 2 * KEYS_PER_SLICE - 1, "warm");
        grants.onHeartbeat(heartbeat(1, 4, holding(omitting), List.of(freed)), slices(3, 0, 1), LONG_LEASE, 40);
        assertEquals(1, released[0]);
        assertEquals("warm", grants.handover(1));
    }

    @Example
    void aSilentTargetIsFreeOnlyAfterItsHoldHasLapsed() {
        grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0), LONG_LEASE, 0);
        int[] released = new int[1];
        grants.revoke(List.of(0), 100, () -> released[0]++);
        grants.tick(HOLD_MILLIS);
        assertEquals(0, released[0]);
        grants.tick((long) (HOLD_MILLIS * 1.03) + 1);
        assertEquals(1, released[0]);
    }

    /** Pattern: a router restarts and its slices move before it has heard its backend server, which holds them. */
    @Example
    void whatAPredecessorMayHaveGrantedIsNotFreeBeforeItHasLapsed() {
        int[] released = new int[1];
        grants.revoke(List.of(0), 100, () -> released[0]++);
        grants.tick(HOLD_MILLIS);
        assertEquals(0, released[0]);
        grants.tick((long) (HOLD_MILLIS * 1.03) + 1);
        assertEquals(1, released[0]);
    }

    @Example
    void theHandoverOfTheLastHolderComesWithTheFirstGrantOnly() {
        List<OwnedSlice> owned = List.of(new OwnedSlice(2, 5, 0, "warm"));
        GrantReply first = grants.onHeartbeat(heartbeat(1, 1, List.of()), owned, LONG_LEASE, 0);
        assertEquals("warm", first.ranges().get(0).handover());
        GrantReply second = grants.onHeartbeat(heartbeat(1, 2, holding(first)), owned, LONG_LEASE, 10);
        assertEquals(null, second.ranges().get(0).handover());
    }

    /** Pattern: a key moves between two targets, which restart at random; its token must rise with each new holder. */
    @Property(tries = 300, seed = "42")
    void tokensOfAKeyRiseWithEachHolder(@ForAll long seed) {
        Random random = new Random(seed);
        Map<Integer, TargetGrants> routers = new HashMap<>();
        Map<Integer, Long> births = new HashMap<>();
        Map<Integer, Long> sequences = new HashMap<>();
        long generation = 1;
        int owner = 0;
        long highest = -1;
        String holder = "";
        for (int step = 0; step < 60; step++) {
            int choice = random.nextInt(4);
            if (choice == 0) {
                owner = 1 - owner;
                generation++;
            } else if (choice == 1) {
                births.merge(owner, 1L, Long::sum);
                sequences.put(owner, 0L);
            } else if (choice == 2) {
                routers.remove(owner);
                generation++;
            }
            TargetGrants router = routers.computeIfAbsent(owner, o -> new TargetGrants(SLICES, HOLD_MILLIS, 0));
            long born = births.computeIfAbsent(owner, o -> 1L);
            long sequence = sequences.merge(owner, 1L, Long::sum);
            String life = owner + "/" + born;
            List<ActiveRange> held =
                    life.equals(holder) ? List.of(new ActiveRange(0, KEYS_PER_SLICE - 1, highest)) : List.of();
            GrantReply reply =
                    router.onHeartbeat(heartbeat(born, sequence, held), slices(generation, 0), LONG_LEASE, step);
            GrantedRange range = reply.ranges().get(0);
            assertTrue(life.equals(holder) ? range.token() >= highest : range.token() > highest);
            highest = range.token();
            holder = life;
        }
    }

    /** Pattern: many slices with a handover each; the acknowledgement must fit into 4 KiB. */
    @Example
    void manyHandoversStillFitIntoTheAcknowledgement() {
        TargetGrants many = new TargetGrants(128, HOLD_MILLIS, 0);
        List<OwnedSlice> owned = new ArrayList<>();
        for (int i = 0; i < 128; i++) {
            owned.add(new OwnedSlice(i, 100 + i % 2, 0, "0123456789abcdef"));
        }
        GrantReply reply = many.onHeartbeat(heartbeat(1, 1, List.of()), owned, LONG_LEASE, 0);
        assertTrue(reply.ranges().stream().filter(r -> r.handover() != null).count() <= 60);
    }
}
