package org.siskindyke.kernel.grant;

import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DeregisteredTargetsTest {
    private static final TargetName TARGET = TargetName.of("i-1");

    private static TargetHeartbeat heartbeat(TargetName target, long startMillis) {
        return new TargetHeartbeat(ServiceName.of("s"), target, 4, false, 0, startMillis, 1, List.of(), List.of());
    }

    /**
     * Guards against a restarted router that acknowledges the deregistration of a backend server from which it has
     * received no heartbeat yet, and then takes the next heartbeat, which does not say that the server is leaving, for
     * that of a new one.
     */
    @Example
    void aHeartbeatAfterDeregistrationComesFromADeregisteredServer() {
        DeregisteredTargets deregisteredTargets = new DeregisteredTargets();
        deregisteredTargets.onDeregistration(TARGET, 5_000);
        assertTrue(deregisteredTargets.isDeregistered(heartbeat(TARGET, 1_000)));
    }

    @Example
    void aLaterIncarnationAndOtherServersAreNotDeregistered() {
        DeregisteredTargets deregisteredTargets = new DeregisteredTargets();
        deregisteredTargets.onDeregistration(TARGET, 5_000);
        assertFalse(deregisteredTargets.isDeregistered(heartbeat(TARGET, 6_000)));
        assertFalse(deregisteredTargets.isDeregistered(heartbeat(TargetName.of("i-2"), 1_000)));
    }
}
