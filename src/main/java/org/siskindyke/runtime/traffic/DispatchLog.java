package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;

import org.siskindyke.kernel.crash.SuspectAssessment;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.EventRateLimiter;
import org.siskindyke.runtime.call.Call;

/**
 * Logs the calls whose answers a backend server lost, those that are refused as suspects, and responses that belong to
 * no awaited call, at a limited rate.
 */
final class DispatchLog {
    private static final int MAX_LOSSES_PER_SECOND = 20;
    private static final int MAX_SUSPECTS_PER_SECOND = 10;
    private static final int MAX_LIMITS_PER_SECOND = 2;
    private static final int MAX_CONNECTION_EVENTS_PER_SECOND = 20;

    private final EventLog log;
    private final MonotonicClock clock;
    private final EventRateLimiter losses = new EventRateLimiter(MAX_LOSSES_PER_SECOND);
    private final EventRateLimiter suspects = new EventRateLimiter(MAX_SUSPECTS_PER_SECOND);
    private final EventRateLimiter limits = new EventRateLimiter(MAX_LIMITS_PER_SECOND);
    private final EventRateLimiter connectionEvents = new EventRateLimiter(MAX_CONNECTION_EVENTS_PER_SECOND);
    private final EventRateLimiter passedOverEvents = new EventRateLimiter(MAX_CONNECTION_EVENTS_PER_SECOND);
    private final LongAdder responsesDropped = new LongAdder();
    private AnnouncedLimit lastLimit = AnnouncedLimit.NONE;

    DispatchLog(EventLog log, MonotonicClock clock) {
        this.log = log;
        this.clock = clock;
    }

    /** Logs that a backend server has not answered a call completely. */
    void onAnswerLost(Call call, TargetName target, ResponseLoss loss, String cause) {
        if (losses.tryAcquire(clock.nowMillis())) {
            log.event(
                    "target-answer-lost",
                    "request",
                    call.id(),
                    "fingerprint",
                    call.fingerprint(),
                    "caller",
                    call.caller(),
                    "target",
                    target,
                    "loss",
                    loss,
                    "cause",
                    cause);
        }
    }

    /** Logs the limit in a response where it differs from that in the previous one. */
    void onLimit(AnnouncedLimit limit, TargetName target) {
        if (!limit.equals(lastLimit) && limits.tryAcquire(clock.nowMillis())) {
            log.event(
                    "target-limit",
                    "target",
                    target,
                    "state",
                    limit.state(),
                    "callsPerSecond",
                    limit.callsPerSecond(),
                    "beforeCallsPerSecond",
                    lastLimit.callsPerSecond());
        }
        lastLimit = limit;
    }

    /** Returns the number of responses dropped, stray bytes included. May be called on any thread. */
    long responsesDropped() {
        return responsesDropped.sum();
    }

    /** Returns an observer that logs the events of connections to a backend server. */
    ConnectionObserver ofConnections(TargetName target) {
        return new ConnectionObserver() {
            @Override
            public void onResponseDropped(Connection connection, String namedRequestId, int status) {
                responsesDropped.increment();
                onConnectionEvent(
                        "target-response-dropped", target, connection, "named", namedRequestId, "status", status);
            }

            @Override
            public void onStrayBytes(Connection connection) {
                responsesDropped.increment();
                onConnectionEvent("target-stray-bytes", target, connection);
            }

            @Override
            public void onConnectionsPassedOver(String requestId, int passedOver) {
                if (passedOverEvents.tryAcquire(clock.nowMillis())) {
                    log.event(
                            "target-connections-passed-over",
                            "target",
                            target,
                            "request",
                            requestId,
                            "connections",
                            passedOver);
                }
            }
        };
    }

    private void onConnectionEvent(
            String event, TargetName target, ConnectionObserver.Connection connection, Object... more) {
        if (!connectionEvents.tryAcquire(clock.nowMillis())) {
            return;
        }
        List<Object> fields = new ArrayList<>(List.of("target", target, "connection", connection.number()));
        fields.addAll(List.of("requests", connection.requests()));
        fields.addAll(Arrays.asList("request", connection.lastRequestId()));
        fields.addAll(Arrays.asList(more));
        log.event(event, fields.toArray());
    }

    /** Logs that a call is refused as a suspect, with the evidence against it. */
    void onSuspectRefused(Call call, SuspectAssessment assessment) {
        if (suspects.tryAcquire(clock.nowMillis())) {
            log.event(
                    "suspect-refused",
                    "request",
                    call.id(),
                    "fingerprint",
                    call.fingerprint(),
                    "caller",
                    call.caller(),
                    "crashed",
                    assessment.crashed(),
                    "lastCrashMillisAgo",
                    assessment.youngestMillis(),
                    "level",
                    assessment.level());
        }
    }
}
