package org.siskindyke.runtime.call;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.Verdict;

/** Records the number and duration of calls, and of refusals by cause. */
public final class CallMetrics {
    private static final String REFUSALS = "siskindyke.refusals";

    private final MeterRegistry registry;

    /** Creates metrics that are recorded in a registry. */
    public CallMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /** Counts a request that was refused before it was routed; no service or duration is recorded. */
    public void onRefusedRequest(Refusal refusal) {
        registry.counter(REFUSALS, "service", "-", "code", refusal.name(), "verdict", Verdict.NOT_RUN.name())
                .increment();
    }

    /** Records the duration of a routed call, and the cause if it was refused. */
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

    /** Returns the number of refusals since the start of the process, by the name of their cause. */
    public Map<String, Long> refusalsByCause() {
        Map<String, Long> counts = new TreeMap<>();
        for (Counter counter : registry.find(REFUSALS).counters()) {
            counts.merge(counter.getId().getTag("code"), (long) counter.count(), Long::sum);
        }
        return counts;
    }
}
