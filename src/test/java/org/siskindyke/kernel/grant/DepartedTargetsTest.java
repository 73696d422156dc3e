package org.siskindyke.kernel.grant;

import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.TargetDeparture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DepartedTargetsTest {
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
    void aHeartbeatAfterADepartureComesFromADepartedServer() {
        DepartedTargets departed = new DepartedTargets();
        departed.add(new TargetDeparture(TARGET, 5_000));
        assertTrue(departed.contains(heartbeat(TARGET, 1_000)));
    }

    @Example
    void aLaterIncarnationAndOtherServersHaveNotDeparted() {
        DepartedTargets departed = new DepartedTargets();
        departed.add(new TargetDeparture(TARGET, 5_000));
        assertFalse(departed.contains(heartbeat(TARGET, 6_000)));
        assertFalse(departed.contains(heartbeat(TargetName.of("i-2"), 1_000)));
    }

    @Example
    void departuresOfAnEarlierProcessDoNotReplaceLaterOnes() {
        DepartedTargets departed = new DepartedTargets();
        departed.add(new TargetDeparture(TARGET, 5_000));
        departed.addEarlier(
                List.of(new TargetDeparture(TARGET, 2_000), new TargetDeparture(TargetName.of("i-0"), 1_000)));
        assertTrue(departed.contains(heartbeat(TARGET, 4_000)));
        assertTrue(departed.contains(heartbeat(TargetName.of("i-0"), 1_000)));
    }

    /** Guards against a record that grows without bound, and that drops the latest departure where it is full. */
    @Example
    void theOldestDeparturesAreDroppedFirst() {
        DepartedTargets departed = new DepartedTargets();
        for (int i = 0; i < 1_000; i++) {
            departed.add(new TargetDeparture(TargetName.of("i-" + i), i));
        }
        assertEquals(16, departed.all().size());
        assertTrue(departed.contains(heartbeat(TargetName.of("i-999"), 999)));
    }
}
