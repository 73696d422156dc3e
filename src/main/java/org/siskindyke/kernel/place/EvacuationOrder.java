package org.siskindyke.kernel.place;

import org.siskindyke.kernel.id.FailureDomain;

/**
 * The latest known state of an operator's order to evacuate a failure domain.
 *
 * @param domain the failure domain
 * @param era the era of the table in which the row of the order was written or removed
 * @param version the version of that change within the era
 * @param evacuated whether the order is in force; false once it was removed
 * @param ageMillis how long ago this state was learnt first, in milliseconds; {@link #UNKNOWN_AGE} where it may have
 *     been in force for long
 */
public record EvacuationOrder(FailureDomain domain, long era, long version, boolean evacuated, long ageMillis) {
    /** Age of an order that was read after a pause, so that it may have been in force for long; one day. */
    public static final long UNKNOWN_AGE = 86_400_000;

    /** Returns whether this state replaces another one of the same failure domain. */
    boolean isNewerThan(EvacuationOrder other) {
        return other == null || era > other.era || era == other.era && version > other.version;
    }
}
