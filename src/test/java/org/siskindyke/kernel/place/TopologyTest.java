package org.siskindyke.kernel.place;

import java.util.Map;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.Region;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

class TopologyTest {
    private static final FailureDomain EAST_1 = FailureDomain.of("east-1");
    private static final FailureDomain EAST_2 = FailureDomain.of("east-2");
    private static final FailureDomain WEST_1 = FailureDomain.of("west-1");

    /** Guards against calls that cross the narrow link between regions as if it were one between failure domains. */
    @Example
    void anotherRegionIsFartherThanAnotherFailureDomain() {
        Topology topology =
                new Topology(Map.of(EAST_1, Region.of("east"), EAST_2, Region.of("east"), WEST_1, Region.of("west")));
        assertEquals(Distance.SAME_DOMAIN, topology.distance(EAST_1, EAST_1));
        assertEquals(Distance.SAME_REGION, topology.distance(EAST_1, EAST_2));
        assertEquals(Distance.OTHER_REGION, topology.distance(EAST_1, WEST_1));
    }

    /** Guards against a deployment without regions in its settings that treats all other domains as far away. */
    @Example
    void failureDomainsThatTheSettingsDoNotListCountAsOneRegion() {
        assertEquals(Distance.SAME_REGION, Topology.UNKNOWN.distance(EAST_1, WEST_1));
        assertFalse(Topology.UNKNOWN.hasRegions());
    }
}
