package org.siskindyke.kernel.call;

/**
 * Attributes that determine a call's position in an {@link AdmissionQueue}.
 *
 * @param kind groups calls of similar duration, such as those of a route
 * @param priority rank among the calls of a service; 0 is served first
 * @param objectiveMillis time on the monotonic clock by which a response is due; a later one is worth less
 * @param nested whether a running call waits for this one
 * @param movable whether the call may still be sent to another target; it is then refused rather than kept waiting
 *     beyond its objective
 * @param suspected whether the answer to an earlier attempt was lost; such a call runs apart from others of its kind,
 *     see {@link org.siskindyke.kernel.crash.SuspectLane}
 * @param returning whether an earlier attempt was refused and its caller returns when it was told to
 */
public record SchedulingAttributes(
        String kind,
        int priority,
        long objectiveMillis,
        boolean nested,
        boolean movable,
        boolean suspected,
        boolean returning) {
    /** Attributes of calls that are matched by service documents, which specify none. */
    public static final SchedulingAttributes DEFAULT =
            new SchedulingAttributes("", 0, Long.MAX_VALUE, false, false, false);

    /** Creates the attributes of a call that does not return after a refusal. */
    public SchedulingAttributes(
            String kind, int priority, long objectiveMillis, boolean nested, boolean movable, boolean suspected) {
        this(kind, priority, objectiveMillis, nested, movable, suspected, false);
    }

    /** Returns a copy with another value of {@code movable}. */
    public SchedulingAttributes withMovable(boolean isMovable) {
        return new SchedulingAttributes(kind, priority, objectiveMillis, nested, isMovable, suspected, returning);
    }

    /** Returns a copy with another value of {@code suspected}. */
    public SchedulingAttributes withSuspected(boolean isSuspected) {
        return new SchedulingAttributes(kind, priority, objectiveMillis, nested, movable, isSuspected, returning);
    }
}
