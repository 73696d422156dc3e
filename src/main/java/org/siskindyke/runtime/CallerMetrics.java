package org.siskindyke.runtime;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.siskindyke.runtime.traffic.CallerMemory;
import org.siskindyke.runtime.traffic.HttpListener;

/** Gauges of what a router holds for callers. */
final class CallerMetrics {
    private CallerMetrics() {}

    /** Registers the gauges. */
    static void register(MeterRegistry registry, HttpListener callers, CallerMemory memory) {
        Gauge.builder("siskindyke.caller.memory.bytes", memory::usedBytes).register(registry);
        Gauge.builder("siskindyke.caller.memory.max.bytes", memory::maxBytes).register(registry);
        Gauge.builder("siskindyke.caller.memory.shed", memory::shed).register(registry);
        Gauge.builder("siskindyke.caller.memory.refused", memory::refused).register(registry);
        Gauge.builder("siskindyke.caller.connections", callers::connections).register(registry);
        Gauge.builder("siskindyke.caller.connections.refused", callers::connectionsRefused)
                .register(registry);
    }
}
