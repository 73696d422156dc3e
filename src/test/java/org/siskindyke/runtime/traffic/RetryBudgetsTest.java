package org.siskindyke.runtime.traffic;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.siskindyke.kernel.call.SharedRetryBudget;
import org.siskindyke.kernel.id.ServiceName;

import static org.junit.jupiter.api.Assertions.assertTrue;

class RetryBudgetsTest {
    private static final ServiceName SERVICE = ServiceName.of("records");
    private static final double RATIO = 0.2;
    private static final int ALLOWANCE = 60;
    private static final long WINDOW_MILLIS = 10_000;

    /**
     * Guards against a router that took the allowance of all routers for good, since it knew of no other one at its
     * first request.
     */
    @Property(tries = 40, seed = "44")
    void routersThatLearnOfEachOtherLaterStayWithinTheSharedBudget(@ForAll @IntRange(min = 2, max = 40) int routers) {
        RetryBudgets[] budgets = new RetryBudgets[routers];
        int[] known = {1};
        for (int i = 0; i < routers; i++) {
            budgets[i] = new RetryBudgets(
                    () -> new SharedRetryBudget(RATIO, ALLOWANCE, () -> known[0], WINDOW_MILLIS), decision -> {});
            budgets[i].onRequest(SERVICE, 0);
        }
        known[0] = routers;
        int retries = 0;
        for (RetryBudgets each : budgets) {
            while (each.tryRetry(SERVICE, 1)) {
                retries++;
            }
        }
        assertTrue(retries <= routers * RATIO + ALLOWANCE, retries + " retries of " + routers + " requests");
    }
}
