package org.siskindyke.runtime;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.ServiceName;

/**
 * Settings of the router beside one backend server.
 *
 * @param instance the instance that the router runs on
 * @param failureDomain the instance's failure domain
 * @param service the service of the backend server beside it
 * @param addresses the addresses that the router listens on
 * @param table address of the table service
 * @param heartbeat interval between the backend server's heartbeats
 * @param bounds limits that a reload of the settings replaces
 * @param deployment what the settings say of the deployment
 */
public record InstanceSettings(
        InstanceName instance,
        FailureDomain failureDomain,
        ServiceName service,
        Addresses addresses,
        InetSocketAddress table,
        Duration heartbeat,
        Bounds bounds,
        DeploymentSettings deployment) {
    /** Creates settings that say nothing of the deployment. */
    public InstanceSettings(
            InstanceName instance,
            FailureDomain failureDomain,
            ServiceName service,
            Addresses addresses,
            InetSocketAddress table,
            Duration heartbeat,
            Bounds bounds) {
        this(instance, failureDomain, service, addresses, table, heartbeat, bounds, DeploymentSettings.DEFAULT);
    }

    /**
     * The addresses that a router listens on, and the one at which other routers reach it.
     *
     * @param callers for requests of callers, including the backend server beside the router
     * @param peers the address that other routers connect to
     * @param peersBind the local address that their connections arrive at; another one where a proxy is in between
     * @param readiness for readiness checks
     * @param heartbeats for heartbeats of the backend server beside the router
     * @param metrics for scraping metrics
     */
    public record Addresses(
            InetSocketAddress callers,
            InetSocketAddress peers,
            InetSocketAddress peersBind,
            InetSocketAddress readiness,
            InetSocketAddress heartbeats,
            InetSocketAddress metrics) {}

    /**
     * Limits that operators set.
     *
     * @param drain time within which a leaving backend server stops getting new requests
     * @param grace time from the signal to stop until the process must have ended
     * @param maxGrantDuration maximum duration of a grant
     * @param retryBudgetRatio retries that all routers together may send per request of a service
     * @param retryBudgetExtra retries that all routers together may send in addition per window and service
     * @param retryBudgetWindow length of the window over which retries are counted
     * @param maxClockSkew how far a clock of the fleet may be off
     */
    public record Bounds(
            Duration drain,
            Duration grace,
            Duration maxGrantDuration,
            double retryBudgetRatio,
            double retryBudgetExtra,
            Duration retryBudgetWindow,
            Duration maxClockSkew) {}

    /**
     * Returns whether changed settings take full effect only after a restart. That is so unless the drain time, the
     * grace period and the allowed difference of clocks alone have changed.
     */
    public boolean needsRestartFor(InstanceSettings changed) {
        Bounds applied = new Bounds(
                changed.bounds.drain,
                changed.bounds.grace,
                bounds.maxGrantDuration,
                bounds.retryBudgetRatio,
                bounds.retryBudgetExtra,
                bounds.retryBudgetWindow,
                changed.bounds.maxClockSkew);
        return !withBounds(applied).equals(changed);
    }

    /** Returns the settings with other bounds. */
    public InstanceSettings withBounds(Bounds changed) {
        return new InstanceSettings(instance, failureDomain, service, addresses, table, heartbeat, changed, deployment);
    }
}
