package org.siskindyke.kernel.membership;

/** State of a member according to the table. */
public enum MemberState {
    /** Serves while it has a valid lease. */
    ALIVE,
    /** Serves the slices that it still owns, accepts nothing new and is about to stop. */
    LEAVING,
    /** Has stopped or was declared dead; never serves again. */
    DEAD
}
