package org.siskindyke.runtime.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.function.IntSupplier;

import org.siskindyke.kernel.call.SharedRetryBudget;
import org.siskindyke.kernel.id.ServiceName;

/** The retry budgets of all services. Confined to the traffic loop. */
final class RetryBudgets {
    private final IntFunction<SharedRetryBudget> create;
    private final IntSupplier routers;
    private final Map<ServiceName, SharedRetryBudget> budgetByService = new HashMap<>();

    /**
     * Creates the budgets.
     *
     * @param create creates a service's budget, given the number of routers that share the allowance
     * @param routers returns the number of routers; read at the first request for a service
     */
    RetryBudgets(IntFunction<SharedRetryBudget> create, IntSupplier routers) {
        this.create = create;
        this.routers = routers;
    }

    void onRequest(ServiceName service, long nowMillis) {
        budget(service).onRequest(nowMillis);
    }

    boolean tryRetry(ServiceName service, long nowMillis) {
        return budget(service).tryRetry(nowMillis);
    }

    private SharedRetryBudget budget(ServiceName service) {
        return budgetByService.computeIfAbsent(service, s -> create.apply(routers.getAsInt()));
    }
}
