package org.siskindyke.kernel.membership;

/** What the table says of a member. */
public enum MemberState {
    /** Serves while it holds a lease. */
    ALIVE,
    /** Serves what it still owns, takes nothing new and is about to end. */
    LEAVING,
    /** Has ended or was declared dead; never serves again. */
    DEAD
}
