package org.siskindyke.kernel.call;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertTrue;

class SendBudgetTest {
    private static final long WINDOW_MILLIS = 10_000;

    /** Pattern: every send fails on all routers at once; their repeats together stay within the shared budget. */
    @Property(tries = 50, seed = "43")
    void allRoutersTogetherStayWithinTheSharedBudget(@ForAll @IntRange(min = 1, max = 40) int routers) {
        SharedRetryBudget[] budgets = new SharedRetryBudget[routers];
        for (int i = 0; i < routers; i++) {
            budgets[i] = new SharedRetryBudget(0.2, 60, routers, WINDOW_MILLIS);
        }
        int requests = 0;
        int repeats = 0;
        for (long nowMillis = 0; nowMillis < WINDOW_MILLIS; nowMillis += 20) {
            for (SharedRetryBudget budget : budgets) {
                budget.onRequest(nowMillis);
                requests++;
                repeats += budget.tryRetry(nowMillis) ? 1 : 0;
            }
        }
        assertTrue(repeats <= requests * 0.2 + 60, repeats + " repeats of " + requests);
        assertTrue(repeats > 0);
    }
}
