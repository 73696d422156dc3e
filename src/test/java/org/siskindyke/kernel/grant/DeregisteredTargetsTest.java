package org.siskindyke.kernel.grant;

import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FarewellsTest {
    private static final TargetName TARGET = TargetName.of("i-1");

    private static TargetHeartbeat heartbeat(TargetName target, long bornMillis) {
        return new TargetHeartbeat(ServiceName.of("s"), target, 4, false, 0, bornMillis, 1, List.of(), List.of());
    }

    /**
     * Pattern: a router that had just started acknowledged that a backend server leaves, had not heard of it, and took
     * its next heartbeat, which said nothing of leaving, for that of a fresh one.
     */
    @Example
    void aHeartbeatAfterTheFarewellOfItsLifeIsOfALeavingServer() {
        DeregisteredTargets farewells = new DeregisteredTargets();
        farewells.onDeregistration(TARGET, 5_000);
        assertTrue(farewells.isDeregistered(heartbeat(TARGET, 1_000)));
    }

    @Example
    void aLifeBornAfterTheFarewellAndOtherServersStay() {
        DeregisteredTargets farewells = new DeregisteredTargets();
        farewells.onDeregistration(TARGET, 5_000);
        assertFalse(farewells.isDeregistered(heartbeat(TARGET, 6_000)));
        assertFalse(farewells.isDeregistered(heartbeat(TargetName.of("i-2"), 1_000)));
    }
}
