package org.siskindyke.kernel.call;

/**
 * What a call's place in a queue follows from.
 *
 * @param kind names calls that take about as long, such as those of a route
 * @param priority rank among the calls of a service; 0 is served first
 * @param objectiveMillis the moment until which the answer is worth most, by the router's clock
 * @param nested whether a running call waits for this one
 * @param movable whether the call may still go to another target, so that a long wait is better refused
 */
public record SchedulingAttributes(String kind, int priority, long objectiveMillis, boolean nested, boolean movable) {
    /** The urgency of calls whose document says nothing of it. */
    public static final SchedulingAttributes DEFAULT = new SchedulingAttributes("", 0, Long.MAX_VALUE, false, false);

    /** Returns the urgency of an attempt that may, or may not, go to another target. */
    public SchedulingAttributes withMovable(boolean isMovable) {
        return new SchedulingAttributes(kind, priority, objectiveMillis, nested, isMovable);
    }
}
