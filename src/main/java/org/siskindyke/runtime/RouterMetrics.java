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
import org.siskindyke.kernel.call.AdmissionCounts;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.traffic.CallOutcome;
import org.siskindyke.runtime.traffic.CallerMemory;
import org.siskindyke.runtime.traffic.Cancellable;
import org.siskindyke.runtime.traffic.HttpExchange;
import org.siskindyke.runtime.traffic.HttpListener;
import org.siskindyke.runtime.traffic.RetryDecision;
import org.siskindyke.runtime.traffic.TargetChoice;

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

    /** Registers a gauge, after the start. */
    void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /** Registers the decisions of the admission policy, after {@link #start}. */
    void registerAdmission(Supplier<AdmissionCounts> admission) {
        admissionGauge("refused_on_arrival", () -> admission.get().refusedOnArrival());
        admissionGauge("refused_waiting", () -> admission.get().refusedWaiting());
        admissionGauge("refused_returning", () -> admission.get().refusedReturning());
        admissionGauge("moved_to_front", () -> admission.get().movedToFront());
    }

    private void admissionGauge(String decision, Supplier<Number> count) {
        Gauge.builder("siskindyke.admission.decisions", count)
                .tag("decision", decision)
                .register(registry);
    }

    /** Registers the gauges of what is held for callers. */
    void registerCallers(HttpListener callers, CallerMemory memory) {
        CallerMetrics.register(registry, callers, memory);
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

    /** Counts the choice of a target by its distance, and records the age of the report it was based on, if any. */
    void onTargetChosen(TargetChoice choice) {
        if (registry == null) {
            return;
        }
        String service = choice.service().value();
        String distance = choice.distance().name();
        registry.counter("siskindyke.target.choices", "service", service, "distance", distance)
                .increment();
        if (choice.isReported()) {
            registry.timer("siskindyke.target.report.age", "service", service)
                    .record(choice.reportAgeMillis(), TimeUnit.MILLISECONDS);
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
