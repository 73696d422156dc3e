package org.siskindyke.kernel.membership;

/** A grantor's reply to a lease renewal, or to a probe by a member that looks for a grantor. */
public enum GrantDecision {
    /** The lease was renewed. */
    GRANTED,
    /** The lease was renewed, but the grantor is leaving; the member should look for another grantor. */
    GRANTED_LEAVING,
    /** The grantor has no valid lease of its own and must not grant. */
    NO_LEASE,
    /** The grantor has not yet read the member's row that names it as grantor in this epoch. */
    UNKNOWN_EPOCH,
    /** The grantor has given up the member in this epoch, or knows a later epoch. */
    GIVEN_UP,
    /** The grantor has stopped granting permanently. */
    CLOSED,
    /** Reply to a probe: the grantor has a valid lease and accepts another grantee. */
    WILLING,
    /** Reply to a probe: the grantor is leaving or has its maximum number of grantees. */
    BUSY;

    /** Returns whether the lease was renewed. */
    public boolean isGranted() {
        return this == GRANTED || this == GRANTED_LEAVING;
    }
}
