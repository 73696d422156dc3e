package org.siskindyke.kernel.call;

/**
 * Limits retries to a share of first attempts.
 *
 * <p>Each first attempt earns a fraction of a retry; what is not used is kept up to a limit. Safe for use by several
 * threads.
 */
public final class RetryBudget {
    private static final double MOST_SAVED_RETRIES = 20;
    private static final double PERCENT = 100;

    private final double earnedPerAttempt;
    private double saved;

    /**
     * Creates a budget.
     *
     * @param percent retries allowed for each hundred first attempts
     */
    public RetryBudget(int percent) {
        this.earnedPerAttempt = percent / PERCENT;
        this.saved = Math.min(1, percent);
    }

    /** Counts a first attempt. */
    public synchronized void onFirstAttempt() {
        saved = Math.min(MOST_SAVED_RETRIES, saved + earnedPerAttempt);
    }

    /** Takes one retry out of the budget, if there is one. */
    public synchronized boolean tryRetry() {
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }
}
