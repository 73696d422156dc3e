package org.siskindyke.runtime.admin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.TargetAnnouncement;

/** What the administration API can do to a router. */
public interface AdminOperations {
    /** Returns the documents. */
    DocumentStore documents();

    /** Takes the announcement of the backend server beside the router. */
    void announce(TargetAnnouncement announcement);

    /** Stops new work of a backend server. */
    void withdraw(ServiceName service);

    /** Finds the backend server of a service; empty once it has no work any more. */
    CompletionStage<Optional<TargetAnnouncement>> target(ServiceName service);

    /** Describes the router's instance. */
    CompletionStage<InstanceStatus> instanceStatus();

    /** Describes the cluster. */
    CompletionStage<ClusterStatus> clusterStatus();

    /** Returns the metrics in Prometheus' text format. */
    String metricsPage();

    /**
     * Drops messages to other routers on purpose.
     *
     * @param peerPorts ports of the routers that messages no longer reach
     * @return whether fault injection is enabled
     */
    boolean cutLinks(List<Integer> peerPorts);
}
