package org.siskindyke.kernel.grant;

import java.util.HashMap;
import java.util.Map;

import org.siskindyke.kernel.id.TargetName;

/**
 * Records backend servers that deregistered before this router had received a heartbeat of theirs, as happens after a
 * restart of the router. The router has acknowledged the deregistration, so it must not treat a later heartbeat of the
 * same incarnation as that of a new backend server. Confined to the control thread.
 */
public final class DeregisteredTargets {
    /** Number of names at which all are dropped, to bound memory; one backend server runs beside a router at a time. */
    private static final int MAX_NAMES = 100;

    private final Map<TargetName, Long> deregisteredUnixMillis = new HashMap<>();

    /**
     * Records that a backend server has deregistered.
     *
     * @param target its name
     * @param nowUnixMillis the current time, as Unix time in milliseconds
     */
    public void onDeregistration(TargetName target, long nowUnixMillis) {
        if (deregisteredUnixMillis.size() >= MAX_NAMES) {
            deregisteredUnixMillis.clear();
        }
        deregisteredUnixMillis.put(target, nowUnixMillis);
    }

    /**
     * Returns whether a heartbeat comes from an incarnation that has deregistered.
     *
     * @param heartbeat the heartbeat; one with a start time after the deregistration is from another incarnation
     */
    public boolean isDeregistered(TargetHeartbeat heartbeat) {
        Long deregisteredMillis = deregisteredUnixMillis.get(heartbeat.target());
        return deregisteredMillis != null && heartbeat.startMillis() <= deregisteredMillis;
    }
}
