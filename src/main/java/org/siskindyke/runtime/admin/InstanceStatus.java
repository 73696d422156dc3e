package org.siskindyke.runtime.admin;

import java.util.List;
import java.util.Map;

/**
 * The status that one instance reports about itself, written as JSON.
 *
 * @param instance name of the instance
 * @param member its current member id
 * @param failureDomain its failure domain
 * @param state {@code JOINING}, or the state of its row
 * @param grantor id of the member that grants its lease; {@code table:0} if the table does
 * @param leaseRemainingMillis remaining time of its lease; 0 without one
 * @param tableVersion the table version up to which it knows all changes
 * @param millisSinceTable time since the table last responded to it; -1 if never
 * @param documents document revision in force, by service
 * @param slices number of slices owned, by service
 * @param targets backend servers beside it
 * @param charges number of members whose leases it grants
 * @param slicesInMove number of slices it is handing over
 * @param pendingWrites number of transactions whose outcome it does not know yet
 * @param callsInProgress number of calls in progress at its backend servers
 * @param refusals number of refusals since its start, by cause
 * @param refusedSuspects number of different calls that are refused because backend servers crashed while running them
 * @param invariantViolations number of invariant violations detected since its start
 */
public record InstanceStatus(
        String instance,
        String member,
        String failureDomain,
        String state,
        String grantor,
        long leaseRemainingMillis,
        long tableVersion,
        long millisSinceTable,
        Map<String, Long> documents,
        Map<String, Integer> slices,
        List<TargetStatus> targets,
        int charges,
        int slicesInMove,
        int pendingWrites,
        int callsInProgress,
        Map<String, Long> refusals,
        long refusedSuspects,
        long invariantViolations) {
    /**
     * The status of a backend server, as its router sees it.
     *
     * @param service its service
     * @param target its name among the service's targets
     * @param accepting whether it accepts new work
     * @param checksGrants whether it refuses, and ends, calls outside the grant that its router renews
     * @param slotsUsed number of slots in use
     * @param mostSlotsUsed maximum number of slots that were in use at once
     * @param waiting number of calls waiting for a slot
     */
    public record TargetStatus(
            String service,
            String target,
            boolean accepting,
            boolean checksGrants,
            int slotsUsed,
            int mostSlotsUsed,
            int waiting) {}
}
