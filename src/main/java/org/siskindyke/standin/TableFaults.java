package org.siskindyke.standin;

/**
 * Faults of the table stand-in.
 *
 * @param down whether it neither executes nor answers calls
 * @param delayMillis how long each answer is delayed, in milliseconds; a transaction takes effect after the delay
 * @param loseAnswersPercent percentage of transactions that take effect but whose answer is lost
 * @param loseRequestsPercent percentage of transactions that are lost before they take effect
 */
public record TableFaults(boolean down, long delayMillis, int loseAnswersPercent, int loseRequestsPercent) {
    /** No faults. */
    public static final TableFaults NONE = new TableFaults(false, 0, 0, 0);
}
