package org.siskindyke.kernel.control;

/**
 * The settled outcome of a transaction.
 *
 * @param committed whether its writes took effect
 * @param version the table version at which they did; 0 otherwise
 */
public record CommitOutcome(boolean committed, long version) {
    static final CommitOutcome CONFLICT = new CommitOutcome(false, 0);
}
