package org.siskindyke.standin;

/**
 * Faults that the table stand-in shows.
 *
 * @param down whether it answers nothing at all
 * @param delayMillis how long each answer is delayed
 * @param loseAnswersPercent share of transactions that take effect but whose answer is lost
 * @param loseRequestsPercent share of transactions that are lost before they take effect
 */
public record TableFaults(boolean down, long delayMillis, int loseAnswersPercent, int loseRequestsPercent) {
    /** No faults. */
    public static final TableFaults NONE = new TableFaults(false, 0, 0, 0);
}
