package org.siskindyke.runtime;

import java.util.Map;
import java.util.TreeMap;

import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.traffic.CallOutcome;

/**
 * Logs what became of requests: each failure, up to a number a second, and successes as counts. Confined to the
 * traffic loop.
 */
final class RequestLog {
    /** Failures that are logged one by one in each second; more are counted. */
    private static final int FAILURES_PER_SECOND = 50;

    private static final int FIRST_FAILURE_STATUS = 400;

    private final EventLog log;
    private final MonotonicClock clock;
    private final Map<String, long[]> countsByRoute = new TreeMap<>();
    private final EventRateLimiter rate = new EventRateLimiter(FAILURES_PER_SECOND);

    RequestLog(EventLog log, MonotonicClock clock) {
        this.log = log;
        this.clock = clock;
    }

    void onEnded(CallOutcome outcome) {
        boolean failed = outcome.status() >= FIRST_FAILURE_STATUS;
        long[] counts = countsByRoute.computeIfAbsent(String.valueOf(outcome.route()), r -> new long[3]);
        counts[failed ? 1 : 0]++;
        counts[2] += outcome.tookMillis();
        if (failed) {
            onFailure(outcome);
        }
    }

    private void onFailure(CallOutcome outcome) {
        if (!rate.tryAcquire(clock.nowMillis())) {
            return;
        }
        log.event(
                "request-failed",
                "request",
                outcome.requestId(),
                "route",
                outcome.route(),
                "service",
                outcome.service(),
                "slice",
                outcome.slice() == null ? null : outcome.slice().index(),
                "status",
                outcome.status(),
                "cause",
                outcome.refusal(),
                "verdict",
                outcome.verdict(),
                "nested",
                outcome.nested(),
                "attempts",
                outcome.attempts(),
                "lastMember",
                outcome.lastMember(),
                "tookMillis",
                outcome.tookMillis());
    }

    /** Writes the counts since the last call. */
    void flush() {
        countsByRoute.forEach((route, counts) -> log.event(
                "requests", "route", route, "answered", counts[0], "failed", counts[1], "millisInAll", counts[2]));
        countsByRoute.clear();
        long notLogged = rate.takeSuppressedCount();
        if (notLogged > 0 || log.dropped() > 0) {
            log.event("log-limits", "failuresNotLogged", notLogged, "eventsDropped", log.dropped());
        }
    }
}
