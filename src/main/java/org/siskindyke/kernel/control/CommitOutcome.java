package org.siskindyke.kernel.control;

/**
 * The final outcome of a transaction.
 *
 * @param committed whether its writes took effect
 * @param version the table version at which the writes took effect; 0 where they did not
 */
public record CommitOutcome(boolean committed, long version) {
    static final CommitOutcome CONFLICT = new CommitOutcome(false, 0);
}
