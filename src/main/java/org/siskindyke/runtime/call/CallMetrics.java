package org.siskindyke.runtime.call;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.Verdict;

/** Counts and times calls. */
public final class CallMetrics {
    private static final String REFUSALS = "siskindyke.refusals";

    private final MeterRegistry registry;

    /** Creates metrics in a registry. */
    public CallMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /** Counts a request that could not be read as a call. */
    public void onRefusedRequest(Refusal refusal) {
        registry.counter(REFUSALS, "service", "-", "code", refusal.name(), "verdict", Verdict.NOT_RUN.name())
                .increment();
    }

    /** Counts and times a call that was answered or refused. */
    public void onReply(Call call, Reply reply, long tookNanos) {
        String service = call.service().value();
        Timer.builder("siskindyke.calls")
                .tags("service", service, "verdict", reply.verdict().name())
                .publishPercentiles(0.5, 0.99)
                .register(registry)
                .record(tookNanos, TimeUnit.NANOSECONDS);
        if (!reply.isAnswer()) {
            registry.counter(
                            REFUSALS,
                            "service",
                            service,
                            "code",
                            reply.refusal().name(),
                            "verdict",
                            reply.verdict().name())
                    .increment();
        }
    }

    /** Returns the number of refusals by cause. */
    public Map<String, Long> refusalsByCause() {
        Map<String, Long> counts = new TreeMap<>();
        for (Counter counter : registry.find(REFUSALS).counters()) {
            counts.merge(counter.getId().getTag("code"), (long) counter.count(), Long::sum);
        }
        return counts;
    }
}
