package org.siskindyke.kernel.call;

import java.util.Map;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Compares ranked admission with the order by priority in the same rush hours. */
class RushHourTest {
    private static final int SEEDS = 3;
    private static final int GROUP = 4;

    private static RushHour byPriority(int servers, double factor, long seed) {
        return new RushHour(servers, PriorityAdmission::new, false, factor, seed);
    }

    private static RushHour ranked(int servers, double factor, long seed) {
        return new RushHour(servers, RankedAdmission::new, true, factor, seed);
    }

    /** Requires a value relative to that of the order by priority, and a tenth of its refusals after a long wait. */
    private static void compare(int servers, double factor, double minValueRatio) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            RushHour before = byPriority(servers, factor, seed);
            RushHour after = ranked(servers, factor, seed);
            before.run();
            Map<RushHour.Kind, RushHour.Tally> tallies = after.run();
            String seen = "seed " + seed + ": value " + after.value() + " instead of " + before.value() + ", held "
                    + after.heldCharge() + " instead of " + before.heldCharge();
            assertTrue(after.value() >= minValueRatio * before.value(), seen);
            assertTrue(after.heldCharge() <= before.heldCharge() / 10, seen);
            requireRanks(tallies, RushHour.SEARCH, RushHour.RENEWAL, seen);
            requireRanks(tallies, RushHour.BOOKING, RushHour.ALERT, seen);
        }
    }

    /** Requires that a less urgent kind is served less, but at least about a quarter of the share. */
    private static void requireRanks(
            Map<RushHour.Kind, RushHour.Tally> tallies, RushHour.Kind urgent, RushHour.Kind other, String seen) {
        double urgentShare = tallies.get(urgent).shareServed();
        double otherShare = tallies.get(other).shareServed();
        String shares = seen + ", shares " + urgentShare + " and " + otherShare;
        assertTrue(otherShare <= urgentShare, shares);
        assertTrue(otherShare >= 0.25 * urgentShare, shares);
    }

    /** Guards against requests that are held long and refused, and against kinds that are served late or not at all. */
    @Example
    void at1Point3TimesTheCapacityAGroupOfServersEarnsMoreAndHoldsFewerRequestsInVain() {
        compare(GROUP, 1.3, 1.02);
    }

    /** Guards against bookings that are lost to reads and renewals that get nothing. */
    @Example
    void atTwiceTheCapacityAGroupOfServersEarnsMoreAndHoldsFewerRequestsInVain() {
        compare(GROUP, 2, 1.15);
    }

    /** Guards against a gain in a group that a single server pays for. */
    @Example
    void aSingleUndividedServerEarnsAsMuchAndHoldsFewerRequestsInVain() {
        compare(1, 1.3, 0.98);
        compare(1, 2, 1.02);
    }

    /** Guards against refusals where there is capacity for all. */
    @Example
    void at70PercentOfTheCapacityNothingIsLost() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            RushHour before = byPriority(GROUP, 0.7, seed);
            RushHour after = ranked(GROUP, 0.7, seed);
            before.run();
            after.run();
            assertTrue(after.value() >= 0.995 * before.value(), "value " + after.value() + " of " + before.value());
        }
    }
}
