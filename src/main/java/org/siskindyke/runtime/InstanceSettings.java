package org.siskindyke.runtime;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.ServiceName;

/**
 * Settings of the router beside one backend server.
 *
 * @param instance the instance it runs on
 * @param failureDomain the instance's failure domain
 * @param service the service of the backend server beside it
 * @param addresses where it listens
 * @param table address of the table service
 * @param heartbeat interval of the backend server's heartbeats
 * @param bounds what it must keep to
 */
public record InstanceSettings(
        InstanceName instance,
        FailureDomain failureDomain,
        ServiceName service,
        Addresses addresses,
        InetSocketAddress table,
        Duration heartbeat,
        Bounds bounds) {
    /**
     * Where a router listens.
     *
     * @param callers for callers' requests, those of the backend server beside it too
     * @param peers for other routers
     * @param readiness for the question whether it takes requests
     * @param heartbeats for the backend server beside it
     * @param metrics for whoever collects metrics
     */
    public record Addresses(
            InetSocketAddress callers,
            InetSocketAddress peers,
            InetSocketAddress readiness,
            InetSocketAddress heartbeats,
            InetSocketAddress metrics) {}

    /**
     * Bounds that operators set.
     *
     * @param drain time after which a leaving backend server gets no new work
     * @param grace time between the request to stop and the end of the process
     * @param maxGrantDuration longest hold that a heartbeat may grant
     * @param retryBudgetRatio repeated sends that all routers may add for each request of a service
     * @param retryBudgetExtra repeated sends that all routers may add besides in a window
     * @param retryBudgetWindow length of that window
     */
    public record Bounds(
            Duration drain,
            Duration grace,
            Duration maxGrantDuration,
            double retryBudgetRatio,
            double retryBudgetExtra,
            Duration retryBudgetWindow) {}

    /** Returns the settings with other bounds. */
    public InstanceSettings withBounds(Bounds changed) {
        return new InstanceSettings(instance, failureDomain, service, addresses, table, heartbeat, changed);
    }
}
