package org.siskindyke.runtime.admin;

import java.util.List;
import java.util.Map;

/**
 * What one instance reports of itself.
 *
 * @param instance the instance
 * @param member its present member id
 * @param failureDomain its failure domain
 * @param state {@code JOINING}, or the state of its row
 * @param grantor the member that renews its lease
 * @param leaseRemainingMillis time left of its lease; 0 without one
 * @param tableVersion the table version up to which it knows all changes
 * @param millisSinceTable time since the table last answered it; -1 for never
 * @param documents revision in force, by service
 * @param slices slices owned, by service
 * @param targets backend servers beside it
 * @param charges members that renew their lease at it
 * @param slicesInMove slices it is handing over
 * @param pendingWrites transactions whose outcome it does not know yet
 * @param callsInProgress calls at its backend servers
 * @param refusals refusals by cause since its start
 * @param refusedSuspects calls refused because backend servers crashed while they ran
 * @param invariantViolations violations seen since its start
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
     * A backend server as its router sees it.
     *
     * @param service its service
     * @param target its name
     * @param accepting whether it takes new work
     * @param checksGrants whether it checks grants
     * @param slotsUsed slots in use
     * @param mostSlotsUsed the most slots in use at a time
     * @param waiting calls that wait for a slot
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
