package org.siskindyke.kernel.call;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits repeated sends of a service in a sliding window to this router's part of what all routers share. Confined to
 * one thread.
 */
public final class SharedRetryBudget {
    /** Part of the shared ratio that is used; calls made by a repeated run count as repeats elsewhere. */
    private static final double RATIO_SHARE = 0.5;
    /** Part of the shared allowance that is used; routers do not know each other's use. */
    private static final double ALLOWANCE_SHARE = 0.5;

    private final double ratio;
    private final double allowance;
    private final long windowMillis;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates a budget.
     *
     * @param ratio repeats that all routers may send for each request
     * @param allowance repeats that all routers may send besides in a window
     * @param routers number of routers that share the allowance
     * @param windowMillis length of the window
     */
    public SharedRetryBudget(double ratio, double allowance, int routers, long windowMillis) {
        this.ratio = ratio * RATIO_SHARE;
        this.allowance = allowance * ALLOWANCE_SHARE / Math.max(1, routers);
        this.windowMillis = windowMillis;
    }

    /** Counts a request. */
    public void onRequest(long nowMillis) {
        removeExpired(requests, nowMillis);
        requests.add(nowMillis);
    }

    /** Takes a repeat out of the budget, if there is one. */
    public boolean tryRetry(long nowMillis) {
        removeExpired(requests, nowMillis);
        removeExpired(retries, nowMillis);
        if (retries.size() + 1 > requests.size() * ratio + allowance) {
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
