package org.siskindyke.runtime.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.siskindyke.kernel.call.SharedRetryBudget;
import org.siskindyke.kernel.id.ServiceName;

/** The retry budgets of all services. Confined to the traffic loop. */
final class RetryBudgets {
    private final Supplier<SharedRetryBudget> create;
    private final Consumer<RetryDecision> onDecision;
    private final Map<ServiceName, SharedRetryBudget> budgetByService = new HashMap<>();

    /**
     * Creates the budgets.
     *
     * @param create creates a service's budget
     * @param onDecision receives each decision
     */
    RetryBudgets(Supplier<SharedRetryBudget> create, Consumer<RetryDecision> onDecision) {
        this.create = create;
        this.onDecision = onDecision;
    }

    void onRequest(ServiceName service, long nowMillis) {
        budget(service).onRequest(nowMillis);
    }

    boolean tryRetry(ServiceName service, long nowMillis) {
        SharedRetryBudget budget = budget(service);
        boolean granted = budget.tryRetry(nowMillis);
        onDecision.accept(new RetryDecision(service, granted, budget.routers()));
        return granted;
    }

    private SharedRetryBudget budget(ServiceName service) {
        return budgetByService.computeIfAbsent(service, s -> create.get());
    }
}
