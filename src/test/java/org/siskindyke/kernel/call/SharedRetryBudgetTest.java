package org.siskindyke.kernel.call;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertTrue;

class SharedRetryBudgetTest {
    private static final long WINDOW_MILLIS = 10_000;

    /** Every attempt fails on all routers at once; the retries of all routers must stay within the shared budget. */
    @Property(tries = 50, seed = "43")
    void allRoutersTogetherStayWithinTheSharedBudget(@ForAll @IntRange(min = 1, max = 40) int routers) {
        SharedRetryBudget[] budgets = new SharedRetryBudget[routers];
        for (int i = 0; i < routers; i++) {
            budgets[i] = new SharedRetryBudget(0.2, 60, () -> routers, WINDOW_MILLIS);
        }
        int requests = 0;
        int retries = 0;
        for (long nowMillis = 0; nowMillis < WINDOW_MILLIS; nowMillis += 20) {
            for (SharedRetryBudget budget : budgets) {
                budget.onRequest(nowMillis);
                requests++;
                retries += budget.tryRetry(nowMillis) ? 1 : 0;
            }
        }
        assertTrue(retries <= requests * 0.2 + 60, retries + " retries of " + requests);
        assertTrue(retries > 0);
    }
}
