package org.siskindyke.kernel.call;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntSupplier;

/**
 * Limits the retries of a service in a sliding window to this router's part of a budget that all routers share.
 * Confined to one thread.
 *
 * <p>For calls that are routed by a {@code RouteTable}; calls of service documents use a {@link RetryBudget}.
 */
public final class SharedRetryBudget {
    /** Fraction of the shared ratio that is used: the calls that a retried call makes count as retries elsewhere. */
    private static final double RATIO_SHARE = 0.5;
    /** Fraction of the shared allowance that is used, since routers do not know how much of it the others use. */
    private static final double ALLOWANCE_SHARE = 0.5;

    private final double ratio;
    private final double allowance;
    private final IntSupplier routers;
    private final long windowMillis;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio retries that all routers may send per request
     * @param allowance retries that all routers together may send in a window in addition
     * @param routers returns the number of routers that share the allowance at present, at least 1
     * @param windowMillis length of the window in milliseconds
     */
    public SharedRetryBudget(double ratio, double allowance, IntSupplier routers, long windowMillis) {
        this.ratio = ratio * RATIO_SHARE;
        this.allowance = allowance * ALLOWANCE_SHARE;
        this.routers = routers;
        this.windowMillis = windowMillis;
    }

    /** Returns the number of routers that the budget assumes to share the allowance. */
    public int routers() {
        return routers.getAsInt();
    }

    /** Records a request, which adds to the budget. */
    public void onRequest(long nowMillis) {
        removeExpired(requests, nowMillis);
        requests.add(nowMillis);
    }

    /** Takes a retry out of the budget; returns false if the budget is exhausted. */
    public boolean tryRetry(long nowMillis) {
        removeExpired(requests, nowMillis);
        removeExpired(retries, nowMillis);
        if (retries.size() + 1 > requests.size() * ratio + allowance / routers.getAsInt()) {
            return false;
        }
        retries.add(nowMillis);
        return true;
    }

    private void removeExpired(Deque<Long> times, long nowMillis) {
        while (!times.isEmpty() && nowMillis - times.peekFirst() >= windowMillis) {
            times.pollFirst();
        }
    }
}
