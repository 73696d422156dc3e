package org.siskindyke.kernel.grant;

import java.util.HashMap;
import java.util.Map;

import org.siskindyke.kernel.id.TargetName;

/**
 * Remembers backend servers that said that they leave before this router had heard a heartbeat of theirs, as after a
 * restart of the router: the answer to that word binds it. Confined to the control thread.
 */
public final class DeregisteredTargets {
    /** Names beyond which all are forgotten, to bound memory; one backend server runs beside a router at a time. */
    private static final int MOST_NAMES = 100;

    private final Map<TargetName, Long> saidUnixMillis = new HashMap<>();

    /**
     * Learns that a backend server leaves.
     *
     * @param target its name
     * @param nowUnixMillis the present, as Unix time
     */
    public void onDeregistration(TargetName target, long nowUnixMillis) {
        if (saidUnixMillis.size() >= MOST_NAMES) {
            saidUnixMillis.clear();
        }
        saidUnixMillis.put(target, nowUnixMillis);
    }

    /**
     * Tells whether a heartbeat comes from a life that has said that it leaves.
     *
     * @param heartbeat the heartbeat; a life that was born after the farewell is another one
     */
    public boolean isDeregistered(TargetHeartbeat heartbeat) {
        Long said = saidUnixMillis.get(heartbeat.target());
        return said != null && heartbeat.startMillis() <= said;
    }
}
