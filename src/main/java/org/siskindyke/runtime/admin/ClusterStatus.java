package org.siskindyke.runtime.admin;

import java.util.List;
import java.util.Map;

/**
 * The cluster as one instance sees it.
 *
 * @param instances what each instance that answered reports
 * @param silent members that did not answer, with the last state that the table shows of them
 * @param documents accepted revision, by service
 * @param unassigned slices without an owner, by service
 */
public record ClusterStatus(
        List<InstanceStatus> instances,
        List<Silent> silent,
        Map<String, Long> documents,
        Map<String, Integer> unassigned) {
    /**
     * A member that did not answer.
     *
     * @param member the member
     * @param failureDomain its failure domain
     * @param state the state of its row
     * @param grantor its grantor
     */
    public record Silent(String member, String failureDomain, String state, String grantor) {}
}
