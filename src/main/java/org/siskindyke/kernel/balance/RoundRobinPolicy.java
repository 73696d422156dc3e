package org.siskindyke.kernel.balance;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import com.google.auto.service.AutoService;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.MemberRow;

/** Selects the targets in rotation; a baseline for measurements. */
@AutoService(TargetPolicy.class)
public final class RoundRobinPolicy implements TargetPolicy {
    private final AtomicInteger next = new AtomicInteger();

    @Override
    public String name() {
        return "round-robin";
    }

    @Override
    public Optional<MemberRow> choose(
            List<MemberRow> candidates, Function<MemberId, TargetLoad> loads, RandomGenerator random, long nowMillis) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(candidates.get(Math.floorMod(next.getAndIncrement(), candidates.size())));
    }
}
