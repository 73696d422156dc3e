package org.siskindyke.runtime.admin;

import java.util.List;
import java.util.Map;

/**
 * The status of the cluster as one instance sees it.
 *
 * @param instances status reports of the instances that responded
 * @param silent members that did not respond, as their rows in the table describe them
 * @param documents accepted revision, by service
 * @param unassigned number of slices without an owner, by service
 */
public record ClusterStatus(
        List<InstanceStatus> instances,
        List<Silent> silent,
        Map<String, Long> documents,
        Map<String, Integer> unassigned) {
    /**
     * A member that did not respond.
     *
     * @param member the member id
     * @param failureDomain its failure domain
     * @param state the state of its row
     * @param grantor id of the member that grants its lease; {@code table:0} if the table does
     */
    public record Silent(String member, String failureDomain, String state, String grantor) {}
}
