package org.siskindyke.kernel.membership;

import org.siskindyke.kernel.id.TargetName;

/**
 * A backend server that has reported to the router beside it that it leaves. It never gets new calls again, unless it
 * starts anew.
 *
 * @param target its name
 * @param startMillis the departure applies to incarnations that started at or before this Unix time, in milliseconds
 */
public record TargetDeparture(TargetName target, long startMillis) {
    /** Returns whether this departure applies to an incarnation of a backend server. */
    public boolean appliesTo(TargetName name, long incarnationStartMillis) {
        return target.equals(name) && incarnationStartMillis <= startMillis;
    }
}
