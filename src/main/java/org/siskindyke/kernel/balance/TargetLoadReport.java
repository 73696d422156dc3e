package org.siskindyke.kernel.balance;

/**
 * Load of a target, which its router reports with each reply.
 *
 * @param slots calls that the target runs concurrently
 * @param busy slots in use
 * @param waiting calls that wait for a slot
 * @param millisPerCall average duration of a call
 * @param intervalMillis minimum time between two calls that the target's limit on calls requires; 0 without a limit
 * @param server the load that the target itself has announced lately; null if it has announced none
 */
public record TargetLoadReport(
        int slots, int busy, int waiting, int millisPerCall, int intervalMillis, ServerLoad server) {
    /** Creates a report of a target that announces no load. */
    public TargetLoadReport(int slots, int busy, int waiting, int millisPerCall, int intervalMillis) {
        this(slots, busy, waiting, millisPerCall, intervalMillis, null);
    }
}
