package org.siskindyke.kernel.call;

/**
 * Limits retries to a percentage of first attempts, as a token bucket. Thread-safe.
 *
 * <p>Each first attempt adds a fraction of a retry to the budget; unused retries are kept up to a limit.
 *
 * <p>For calls that are matched by service documents; calls of routes use a {@link SharedRetryBudget}.
 */
public final class RetryBudget {
    private static final double MAX_SAVED_RETRIES = 20;
    private static final double PERCENT = 100;

    private final double retriesPerAttempt;
    private double savedRetries;

    /**
     * Creates a budget.
     *
     * @param percent retries allowed per 100 first attempts; unless it is 0, the budget starts with one retry
     */
    public RetryBudget(int percent) {
        this.retriesPerAttempt = percent / PERCENT;
        this.savedRetries = Math.min(1, percent);
    }

    /** Records a first attempt, which adds to the budget. */
    public synchronized void onFirstAttempt() {
        savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + retriesPerAttempt);
    }

    /** Takes a retry out of the budget; returns false if the budget is exhausted. */
    public synchronized boolean tryRetry() {
        if (savedRetries < 1) {
            return false;
        }
        savedRetries -= 1;
        return true;
    }
}
