package org.siskindyke.kernel.grant;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
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
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TargetGrantsTest {
    private static final int SLICES = 8;
    private static final int KEYS_PER_SLICE = KeyRange.KEY_COUNT / SLICES;
    private static final long LATE_LEASE_END_MILLIS = 1_000_000;
    private static final long MAX_GRANT_MILLIS = 3_000;
    private final TargetGrants grants = new TargetGrants(SLICES, MAX_GRANT_MILLIS, 0);

    private static TargetHeartbeat heartbeat(long startMillis, long sequence, List<ActiveRange> activeRanges) {
        return heartbeat(startMillis, sequence, activeRanges, List.of());
    }

    private static TargetHeartbeat heartbeat(
            long startMillis, long sequence, List<ActiveRange> activeRanges, List<ReleasedRange> released) {
        return new TargetHeartbeat(
                ServiceName.of("haat"),
                TargetName.of("i-1"),
                4,
                false,
                0,
                startMillis,
                sequence,
                activeRanges,
                released);
    }

    private static List<OwnedSlice> slices(long generation, int... indexes) {
        List<OwnedSlice> slices = new ArrayList<>();
        for (int index : indexes) {
            slices.add(new OwnedSlice(index, generation, 0));
        }
        return slices;
    }

    private static List<ActiveRange> activeRanges(GrantReply reply) {
        return reply.ranges().stream()
                .map(r -> new ActiveRange(r.first(), r.last(), r.token()))
                .toList();
    }

    @Example
    void neighbouringSlicesOfOneTokenAreOneRange() {
        GrantReply reply = grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0, 1, 4), LATE_LEASE_END_MILLIS, 0);
        assertEquals(2, reply.ranges().size());
        assertEquals(2 * KEYS_PER_SLICE - 1, reply.ranges().get(0).last());
    }

    @Example
    void aGrantNeverOutlastsTheLease() {
        GrantReply reply = grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0), 2_000, 1_000);
        assertTrue(reply.grantMillis() * 1.02 < 1_000);
    }

    @Example
    void withoutALeaseNothingIsRenewed() {
        assertFalse(grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0), 500, 1_000)
                .renews());
    }

    @Example
    void aNewIncarnationGetsAHigherTokenAndAnOldOneIsOutdated() {
        GrantReply first = grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0), LATE_LEASE_END_MILLIS, 0);
        GrantReply second = grants.onHeartbeat(heartbeat(2, 1, List.of()), slices(3, 0), LATE_LEASE_END_MILLIS, 10);
        assertTrue(second.ranges().get(0).token() > first.ranges().get(0).token());
        assertFalse(grants.isCurrent(heartbeat(1, 99, List.of())));
        assertFalse(grants.isCurrent(heartbeat(2, 1, List.of())));
    }

    /** Guards against order numbers that are compared with those of an earlier incarnation under the same id. */
    @Example
    void orderNumbersOfAnIncarnationAreNotComparedWithThoseOfTheOneBefore() {
        List<String> released = new ArrayList<>();
        GrantReply first = grants.onHeartbeat(heartbeat(1, 50, List.of()), slices(3, 0, 1), LATE_LEASE_END_MILLIS, 0);
        grants.revoke(List.of(0), 1, () -> released.add("before the restart"));
        grants.onHeartbeat(heartbeat(1, 51, activeRanges(first)), slices(3, 0, 1), LATE_LEASE_END_MILLIS, 2);
        assertEquals(List.of(), released);

        assertTrue(grants.isCurrent(heartbeat(2, 1, List.of())));
        GrantReply second = grants.onHeartbeat(heartbeat(2, 1, List.of()), slices(3, 0, 1), LATE_LEASE_END_MILLIS, 3);
        assertEquals(List.of("before the restart"), released);
        grants.revoke(List.of(1), 4, () -> released.add("after the restart"));
        grants.onHeartbeat(heartbeat(2, 2, activeRanges(second)), slices(3, 0, 1), LATE_LEASE_END_MILLIS, 5);
        assertFalse(grants.isCurrent(heartbeat(1, 52, List.of())));
        assertEquals(List.of("before the restart"), released);
        grants.onHeartbeat(heartbeat(2, 3, List.of()), slices(3, 0, 1), LATE_LEASE_END_MILLIS, 6);
        assertEquals(List.of("before the restart", "after the restart"), released);
    }

    @Example
    void aRestartedRouterKeepsTheTokenGrantedBeforeItsRestart() {
        GrantReply before = grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0, 1), LATE_LEASE_END_MILLIS, 0);
        TargetGrants restarted = new TargetGrants(SLICES, MAX_GRANT_MILLIS, 0);
        GrantReply after =
                restarted.onHeartbeat(heartbeat(1, 2, activeRanges(before)), slices(4, 0, 1), LATE_LEASE_END_MILLIS, 0);
        assertEquals(before.ranges(), after.ranges());
    }

    @Example
    void aRevokedSliceIsReleasedOnceAHeartbeatAfterTheOmissionDoesNotListIt() {
        GrantReply reply = grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0, 1), LATE_LEASE_END_MILLIS, 0);
        int[] released = new int[1];
        grants.revoke(List.of(1), 10, () -> released[0]++);
        GrantReply omitting =
                grants.onHeartbeat(heartbeat(1, 2, activeRanges(reply)), slices(3, 0, 1), LATE_LEASE_END_MILLIS, 20);
        assertEquals(KEYS_PER_SLICE - 1, omitting.ranges().get(0).last());
        grants.onHeartbeat(heartbeat(1, 3, activeRanges(reply)), slices(3, 0, 1), LATE_LEASE_END_MILLIS, 30);
        assertEquals(0, released[0]);
        ReleasedRange freed = new ReleasedRange(KEYS_PER_SLICE, 2 * KEYS_PER_SLICE - 1, "warm");
        grants.onHeartbeat(
                heartbeat(1, 4, activeRanges(omitting), List.of(freed)), slices(3, 0, 1), LATE_LEASE_END_MILLIS, 40);
        assertEquals(1, released[0]);
        assertEquals("warm", grants.handover(1));
    }

    @Example
    void aSliceOfASilentTargetIsReleasedOnlyAfterItsGrantHasExpired() {
        grants.onHeartbeat(heartbeat(1, 1, List.of()), slices(3, 0), LATE_LEASE_END_MILLIS, 0);
        int[] released = new int[1];
        grants.revoke(List.of(0), 100, () -> released[0]++);
        grants.tick(MAX_GRANT_MILLIS);
        assertEquals(0, released[0]);
        grants.tick((long) (MAX_GRANT_MILLIS * 1.03) + 1);
        assertEquals(1, released[0]);
    }

    /** A router restarts, and its slices move before the backend server, which still has a grant, sends a heartbeat. */
    @Example
    void aSliceGrantedBeforeARouterRestartIsNotReleasedBeforeTheGrantExpires() {
        int[] released = new int[1];
        grants.revoke(List.of(0), 100, () -> released[0]++);
        grants.tick(MAX_GRANT_MILLIS);
        assertEquals(0, released[0]);
        grants.tick((long) (MAX_GRANT_MILLIS * 1.03) + 1);
        assertEquals(1, released[0]);
    }

    @Example
    void theHandoverOfThePreviousOwnerComesWithTheFirstGrantOnly() {
        List<OwnedSlice> owned = List.of(new OwnedSlice(2, 5, 0, "warm"));
        GrantReply first = grants.onHeartbeat(heartbeat(1, 1, List.of()), owned, LATE_LEASE_END_MILLIS, 0);
        assertEquals("warm", first.ranges().get(0).handover());
        GrantReply second = grants.onHeartbeat(heartbeat(1, 2, activeRanges(first)), owned, LATE_LEASE_END_MILLIS, 10);
        assertEquals(null, second.ranges().get(0).handover());
    }

    /**
     * A slice moves between two backend servers at random; they and their routers restart at random. Its token must
     * rise whenever it is granted to another incarnation than before, and never fall.
     */
    @Property(tries = 300, seed = "42")
    void tokensOfAKeyRiseWithEachIncarnationThatIsGrantedIt(@ForAll long seed) {
        Random random = new Random(seed);
        Map<Integer, TargetGrants> routers = new HashMap<>();
        Map<Integer, Long> startTimes = new HashMap<>();
        Map<Integer, Long> sequences = new HashMap<>();
        long generation = 1;
        int owner = 0;
        long maxToken = -1;
        String lastIncarnation = "";
        for (int step = 0; step < 60; step++) {
            int choice = random.nextInt(4);
            if (choice == 0) {
                owner = 1 - owner;
                generation++;
            } else if (choice == 1) {
                startTimes.merge(owner, 1L, Long::sum);
                sequences.put(owner, 0L);
            } else if (choice == 2) {
                routers.remove(owner);
                generation++;
            }
            TargetGrants router = routers.computeIfAbsent(owner, o -> new TargetGrants(SLICES, MAX_GRANT_MILLIS, 0));
            long startMillis = startTimes.computeIfAbsent(owner, o -> 1L);
            long sequence = sequences.merge(owner, 1L, Long::sum);
            String incarnation = owner + "/" + startMillis;
            List<ActiveRange> activeRanges = incarnation.equals(lastIncarnation)
                    ? List.of(new ActiveRange(0, KEYS_PER_SLICE - 1, maxToken))
                    : List.of();
            GrantReply reply = router.onHeartbeat(
                    heartbeat(startMillis, sequence, activeRanges), slices(generation, 0), LATE_LEASE_END_MILLIS, step);
            GrantedRange range = reply.ranges().get(0);
            assertTrue(incarnation.equals(lastIncarnation) ? range.token() >= maxToken : range.token() > maxToken);
            maxToken = range.token();
            lastIncarnation = incarnation;
        }
    }

    /**
     * Guards against an acknowledgement of more than 4 KiB where many slices have handover data: at most 60 ranges may
     * carry it.
     */
    @Example
    void manyHandoversStillFitIntoTheAcknowledgement() {
        TargetGrants many = new TargetGrants(128, MAX_GRANT_MILLIS, 0);
        List<OwnedSlice> owned = new ArrayList<>();
        for (int i = 0; i < 128; i++) {
            owned.add(new OwnedSlice(i, 100 + i % 2, 0, "0123456789abcdef"));
        }
        GrantReply reply = many.onHeartbeat(heartbeat(1, 1, List.of()), owned, LATE_LEASE_END_MILLIS, 0);
        assertTrue(reply.ranges().stream().filter(r -> r.handover() != null).count() <= 60);
    }

    /** Guards against a run of slices of which a part moves: the rest keeps its token, as two ranges. */
    @Example
    void aPartOfARunIsRevokedWhileTheRestStaysGranted() {
        List<String> released = new ArrayList<>();
        List<OwnedSlice> run = List.of(new OwnedSlice(0, 5, 0, null, SLICES));
        GrantReply whole = grants.onHeartbeat(heartbeat(1, 1, List.of()), run, LATE_LEASE_END_MILLIS, 0);
        assertEquals(1, whole.ranges().size());
        grants.revoke(List.of(3, 4), 1, () -> released.add("released"));
        GrantReply rest = grants.onHeartbeat(heartbeat(1, 2, activeRanges(whole)), run, LATE_LEASE_END_MILLIS, 2);
        long token = whole.ranges().get(0).token();
        assertEquals(
                List.of(
                        new GrantedRange(0, 3 * KEYS_PER_SLICE - 1, token, null),
                        new GrantedRange(5 * KEYS_PER_SLICE, KeyRange.KEY_COUNT - 1, token, null)),
                rest.ranges());
        assertEquals(List.of(), released);
        grants.onHeartbeat(heartbeat(1, 3, activeRanges(rest)), run, LATE_LEASE_END_MILLIS, 3);
        assertEquals(List.of("released"), released);
    }

    /** Guards against a handover that is granted in pieces, slice by slice. */
    @Example
    void aRunWithHandoverDataIsOneRange() {
        List<OwnedSlice> run = List.of(new OwnedSlice(1, 5, 0, "warm", 3));
        GrantReply reply = grants.onHeartbeat(heartbeat(1, 1, List.of()), run, LATE_LEASE_END_MILLIS, 0);
        assertEquals(
                List.of(new GrantedRange(KEYS_PER_SLICE, 4 * KEYS_PER_SLICE - 1, 5 << 10, "warm")), reply.ranges());
    }

    /** Guards against an acknowledgement of over 4 KiB, which would leave the server without any grant. */
    @Example
    void ofTooManyRangesTheNarrowestAreLeftOut() {
        TargetGrants many = new TargetGrants(1_024, MAX_GRANT_MILLIS, 0);
        List<OwnedSlice> owned = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            owned.add(new OwnedSlice(4 * i, 100 + i, 0, null, i < 30 ? 1 : 2));
        }
        GrantReply reply = many.onHeartbeat(heartbeat(1, 1, List.of()), owned, LATE_LEASE_END_MILLIS, 0);
        assertEquals(128, reply.ranges().size());
        assertEquals(8 + 2 * 120, many.grantedSlices().cardinality());
        assertTrue(many.grantedSlices().get(4 * 149));
    }

    /** Guards against a heartbeat that hangs the control thread, since its ranges overlap. */
    @Example
    void theWorkForAHeartbeatDoesNotGrowWithTheOverlapOfItsRanges() {
        int slices = 8_192;
        TargetGrants many = new TargetGrants(slices, MAX_GRANT_MILLIS, 0);
        List<OwnedSlice> owned = new ArrayList<>();
        for (int index = 0; index < slices; index += 2) {
            owned.add(new OwnedSlice(index, 1, 0));
        }
        List<ActiveRange> active = Collections.nCopies(slices, new ActiveRange(1, KeyRange.KEY_COUNT - 2, 1));
        List<ReleasedRange> released = Collections.nCopies(slices, new ReleasedRange(0, KeyRange.KEY_COUNT - 1, "x"));
        assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            for (int sequence = 1; sequence <= 20; sequence++) {
                many.revoke(List.of(1, 3), 0, () -> {});
                many.onHeartbeat(heartbeat(1, sequence, active, released), owned, LATE_LEASE_END_MILLIS, 10);
            }
        });
    }

    /** Guards against handover data of a slice of which only a part was released, and of an earlier release. */
    @Example
    void theLastRangeThatContainsAWholeSliceGivesItsHandover() {
        int half = KEYS_PER_SLICE / 2;
        List<ReleasedRange> released = List.of(
                new ReleasedRange(0, 3 * KEYS_PER_SLICE - 1, "first"),
                new ReleasedRange(half, 2 * KEYS_PER_SLICE - 1, "second"),
                new ReleasedRange(2 * KEYS_PER_SLICE, 4 * KEYS_PER_SLICE - half, "third"));
        grants.onHeartbeat(heartbeat(1, 1, List.of(), released), List.of(), LATE_LEASE_END_MILLIS, 10);
        assertEquals("first", grants.handover(0));
        assertEquals("second", grants.handover(1));
        assertEquals("third", grants.handover(2));
        assertNull(grants.handover(3));
    }
}
