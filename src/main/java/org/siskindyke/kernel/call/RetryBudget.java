package org.siskindyke.kernel.call;

/**
 * Limits retries to a share of first attempts.
 *
 * <p>Each first attempt earns a fraction of a retry; what is not used is kept up to a limit. Safe for use by several
 * threads.
 */
public final class RetryBudget {
    private static final double MAX_SAVED_RETRIES = 20;
    private static final double PERCENT = 100;

    private final double retriesPerAttempt;
    private double savedRetries;

    /**
     * Creates a budget.
     *
     * @param percent retries allowed for each hundred first attempts
     */
    public RetryBudget(int percent) {
        this.retriesPerAttempt = percent / PERCENT;
        this.savedRetries = Math.min(1, percent);
    }

    /** Counts a first attempt. */
    public synchronized void onFirstAttempt() {
        savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + retriesPerAttempt);
    }

    /** Takes one retry out of the budget, if there is one. */
    public synchronized boolean tryRetry() {
        if (savedRetries < 1) {
            return false;
        }
        savedRetries -= 1;
        return true;
    }
}
