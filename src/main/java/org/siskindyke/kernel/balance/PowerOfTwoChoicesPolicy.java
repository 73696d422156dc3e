package org.siskindyke.kernel.balance;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;

/**
 * Selects the one of two random targets with the lower cost by latency and calls in flight ("power of two choices");
 * the time for a selection does not depend on the number of targets. An avoided target is selected only if all targets
 * that were sampled are avoided.
 */
@AutoService(TargetPolicy.class)
public final class PowerOfTwoChoicesPolicy implements TargetPolicy {
    /** Maximum number of targets that are sampled to find two that are not avoided. */
    private static final int MAX_SAMPLES = 4;

    @Override
    public String name() {
        return "two-choices";
    }

    @Override
    public Optional<MemberRow> choose(
            List<MemberRow> candidates, Function<MemberId, TargetLoad> loads, RandomGenerator random, long nowMillis) {
        MemberRow best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        int start = candidates.isEmpty() ? 0 : random.nextInt(candidates.size());
        int considered = 0;
        for (int i = 0; i < Math.min(MAX_SAMPLES, candidates.size()) && considered < 2; i++) {
            MemberRow candidate = candidates.get((start + i * stride(candidates.size(), random)) % candidates.size());
            TargetLoad load = loads.apply(candidate.id());
            boolean avoided = load.isAvoided(nowMillis);
            considered += avoided ? 0 : 1;
            double cost = avoided ? Double.MAX_VALUE : load.cost();
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private static int stride(int size, RandomGenerator random) {
        return size <= MAX_SAMPLES ? 1 : 1 + random.nextInt(size - 1);
    }
}
