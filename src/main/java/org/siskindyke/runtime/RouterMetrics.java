package org.siskindyke.runtime;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.common.util.internal.logging.InternalLoggerFactory;
import io.micrometer.common.util.internal.logging.JdkLoggerFactory;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.traffic.CallOutcome;
import org.siskindyke.runtime.traffic.Cancellable;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.RetryDecision;

/**
 * Counters and latency histograms of a router. The registry is created some seconds after the start, since creating it
 * takes a noticeable part of the startup time; requests that end before then are not counted. Confined to the traffic
 * loop.
 */
public final class RouterMetrics {
    private static final int OK = 200;
    private static final Header TEXT = new Header("Content-Type", "text/plain; version=0.0.4; charset=utf-8");

    private PrometheusMeterRegistry registry;

    /** Creates the registry and registers the gauges; requests are counted from then on. */
    void start(
            Supplier<Number> slotsUsed,
            Supplier<Number> callsWaiting,
            Supplier<Number> responsesDropped,
            Supplier<Number> eventsDropped,
            Supplier<Number> convictedRequests,
            Supplier<Number> membersServing,
            Supplier<Number> configurationVersion,
            Supplier<Number> storeEra) {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        Gauge.builder("siskindyke.slots.used", slotsUsed).register(registry);
        Gauge.builder("siskindyke.calls.waiting", callsWaiting).register(registry);
        Gauge.builder("siskindyke.target.responses.dropped", responsesDropped).register(registry);
        Gauge.builder("siskindyke.convicted.requests", convictedRequests).register(registry);
        Gauge.builder("siskindyke.members.serving", membersServing).register(registry);
        Gauge.builder("siskindyke.configuration.version", configurationVersion).register(registry);
        Gauge.builder("siskindyke.store.era", storeEra).register(registry);
        Gauge.builder("siskindyke.log.events.dropped", eventsDropped).register(registry);
    }

    /** Registers the gauge of the runs of adjacent slices that this router's member owns; after {@link #start}. */
    void observeSliceRuns(Supplier<Number> sliceRuns) {
        Gauge.builder("siskindyke.slice.runs", sliceRuns).register(registry);
    }

    /** Records the result and duration of a request that has ended. */
    void onEnded(CallOutcome outcome) {
        if (registry == null) {
            return;
        }
        Timer.builder("siskindyke.requests")
                .tags(
                        "route",
                        String.valueOf(outcome.route()),
                        "status",
                        Integer.toString(outcome.status()),
                        "cause",
                        String.valueOf(outcome.refusal()))
                .publishPercentileHistogram()
                .register(registry)
                .record(outcome.tookMillis(), TimeUnit.MILLISECONDS);
    }

    /** Counts a decision of a retry budget. */
    void onRetryDecided(RetryDecision decision) {
        if (registry != null) {
            registry.counter(
                            "siskindyke.retries",
                            "service",
                            decision.service().value(),
                            "granted",
                            Boolean.toString(decision.granted()))
                    .increment();
        }
    }

    /** Returns a handler that serves all metrics in the Prometheus text format; an empty body before the start. */
    public HttpExchange.Handler handler() {
        return (request, responder) -> {
            String text = registry == null ? "" : registry.scrape();
            responder.respond(new HttpExchange.Response(OK, List.of(TEXT), text.getBytes(StandardCharsets.UTF_8)));
            return Cancellable.NONE;
        };
    }
}
