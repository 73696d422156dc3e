package org.siskindyke.kernel.place;

import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.Region;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EvacuationOrdersTest {
    private static final FailureDomain A = FailureDomain.of("a");
    private static final FailureDomain B = FailureDomain.of("b");
    private static final long ALLOWED_MILLIS = 5_000;

    private final EvacuationOrders orders = new EvacuationOrders();

    private static EvacuationOrder order(long era, long version, boolean evacuated, long ageMillis) {
        return new EvacuationOrder(A, era, version, evacuated, ageMillis);
    }

    /** Guards against an order that gossip brings back after its removal is known. */
    @Example
    void anOlderStateDoesNotReplaceANewerOne() {
        assertTrue(orders.accept(List.of(order(1, 7, false, 0)), 0));
        assertFalse(orders.accept(List.of(order(1, 6, true, 0)), 0));
        assertFalse(orders.accept(List.of(order(1, 7, false, 0)), 0));
        assertTrue(orders.inForce().isEmpty());
    }

    /** Guards against an order that no router obeys, since a restored store gave out its version before. */
    @Example
    void aLaterEraReplacesAHigherVersionOfAnEarlierOne() {
        orders.accept(List.of(order(1, 900, true, 0)), 0);
        assertTrue(orders.accept(List.of(order(2, 3, false, 0)), 0));
        assertTrue(orders.accept(List.of(order(2, 4, true, 0)), 0));
        assertTrue(orders.inForce().isEvacuated(A));
    }

    /** Guards against a router that serves beyond the bound since it learnt the order late from another. */
    @Example
    void theTimeToMoveSlicesCountsFromWhenTheFirstRouterLearntTheOrder() {
        orders.accept(List.of(order(1, 1, true, 2_000)), 10_000);
        assertTrue(orders.inForce().servesSlices(A, ALLOWED_MILLIS, 10_400));
        assertFalse(orders.inForce().servesSlices(A, ALLOWED_MILLIS, 10_600));
        assertTrue(orders.inForce().servesSlices(B, ALLOWED_MILLIS, 10_600));
    }

    /** Guards against a router that starts in the middle of an evacuation and serves as if it had just begun. */
    @Example
    void anOrderOfUnknownAgeLeavesNoTimeToMoveSlices() {
        orders.accept(List.of(order(1, 1, true, EvacuationOrder.UNKNOWN_AGE)), 100);
        assertFalse(orders.inForce().servesSlices(A, ALLOWED_MILLIS, 100));
    }

    /** Guards against an order that is written again and lets the owners serve for longer. */
    @Example
    void anOrderThatIsWrittenAgainDoesNotBeginAnew() {
        orders.accept(List.of(order(1, 1, true, 0)), 0);
        orders.accept(List.of(order(1, 2, true, 0)), 3_000);
        assertEquals(new Evacuation(Map.of(A, 0L)), orders.inForce());
    }

    /** Guards against removals that are not passed on, so that some routers keep the order for good. */
    @Example
    void removedOrdersArePassedOnWithTheirAge() {
        orders.accept(List.of(order(1, 1, true, 0)), 0);
        orders.accept(List.of(order(1, 2, false, 0)), 500);
        assertEquals(List.of(order(1, 2, false, 100)), orders.all(600));
    }

    /** Guards against requests that leave their allowed regions, and against failure domains of unknown regions. */
    @Example
    void onlyFailureDomainsOfAllowedRegionsArePermitted() {
        Topology topology = new Topology(Map.of(A, Region.of("north"), B, Region.of("south")));
        AllowedRegions north = new AllowedRegions(Set.of(Region.of("north")));
        assertTrue(north.permits(A, topology));
        assertFalse(north.permits(B, topology));
        assertFalse(north.permits(A, Topology.UNKNOWN));
        assertTrue(AllowedRegions.ALL.permits(B, topology));
    }
}
