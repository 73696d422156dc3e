package org.siskindyke.kernel.membership;

/** A grantor's decision on a renewal. */
public enum GrantDecision {
    /** Renewed. */
    GRANTED,
    /** Renewed, but the grantor is leaving; the member should look for another. */
    GRANTED_LEAVING,
    /** The grantor has no lease of its own. */
    NO_LEASE,
    /** The grantor has not read the row that appoints it yet. */
    UNKNOWN_EPOCH,
    /** The grantor has given up the member in this epoch. */
    GIVEN_UP,
    /** The grantor has ended. */
    CLOSED,
    /** A probe: the grantor holds a lease and would take the member on. */
    WILLING,
    /** A probe: the grantor has enough charges. */
    BUSY;

    /** Tells whether the lease was renewed. */
    public boolean isGranted() {
        return this == GRANTED || this == GRANTED_LEAVING;
    }
}
