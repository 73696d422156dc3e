package org.siskindyke.runtime.admin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.TargetAnnouncement;

/** The operations of a router that the administration API offers. */
public interface AdminOperations {
    /** Returns the store of service documents. */
    DocumentStore documents();

    /**
     * Registers a backend server beside the router, or renews its registration. Does not wait for completion; has no
     * effect while the router leaves.
     */
    void announce(TargetAnnouncement announcement);

    /** Stops new work of a service's backend server and hands its slices over. Does not wait for completion. */
    void withdraw(ServiceName service);

    /** Returns the backend server of a service; empty if none is registered, or once it is drained. */
    CompletionStage<Optional<TargetAnnouncement>> target(ServiceName service);

    /** Returns the status of the router's instance. */
    CompletionStage<InstanceStatus> instanceStatus();

    /** Returns the status of the cluster, with the reports of all routers that respond. */
    CompletionStage<ClusterStatus> clusterStatus();

    /** Returns the metrics in the Prometheus text format. */
    String metricsPage();

    /**
     * Replaces the set of routers to which messages are dropped.
     *
     * @param peerPorts peer ports of these routers
     * @return whether fault injection is enabled; if not, nothing is changed
     */
    boolean cutLinks(List<Integer> peerPorts);
}
