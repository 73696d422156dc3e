package org.siskindyke.runtime;

import java.util.Map;
import java.util.TreeMap;

import org.siskindyke.kernel.call.AdmissionCounts;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.place.Distance;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.traffic.CallOutcome;
import org.siskindyke.runtime.traffic.RetryDecision;
import org.siskindyke.runtime.traffic.TargetChoice;
import org.siskindyke.runtime.traffic.TrafficLoop;
import org.siskindyke.runtime.traffic.UnsentResponses;

/**
 * Logs the results of requests: failures one by one, up to a maximum rate, and totals per route. Confined to the
 * traffic loop.
 */
final class RequestLog {
    /** Maximum number of failures logged one by one per second; those beyond it are only counted. */
    private static final int FAILURES_PER_SECOND = 50;

    /** As above, of requests whose callers left. */
    private static final int ABANDONED_PER_SECOND = 10;

    private static final int FIRST_FAILURE_STATUS = 400;

    private static final int DISTANCES = Distance.values().length;

    private final EventLog log;
    private final MonotonicClock clock;
    /** For each route: requests that succeeded, requests that failed, and the total duration in milliseconds. */
    private final Map<String, long[]> countsByRoute = new TreeMap<>();

    /** For each service: retries granted, retries refused, and the number of routers that its budget assumes. */
    private final Map<ServiceName, int[]> retriesByService = new TreeMap<>();

    /** For each service: choices at each distance, those that had a report, and the total age of these in ms. */
    private final Map<ServiceName, long[]> choicesByService = new TreeMap<>();

    private final EventRateLimiter failureLimiter = new EventRateLimiter(FAILURES_PER_SECOND);
    private final EventRateLimiter abandonedLimiter = new EventRateLimiter(ABANDONED_PER_SECOND);

    private AdmissionCounts loggedCounts = AdmissionCounts.NONE;

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

    /** Logs a request whose caller left before it was answered. */
    void onAbandoned(CallOutcome outcome) {
        if (abandonedLimiter.tryAcquire(clock.nowMillis())) {
            logRequest("request-abandoned", outcome);
        }
    }

    /** Logs a request whose connection ends without a response, since the router ends. */
    void onUnanswered(CallOutcome outcome) {
        logRequest("request-unanswered", outcome);
    }

    /** Logs what the caller of a connection still waits for late in a stop. */
    void onUnsent(UnsentResponses connection) {
        log.event(
                "responses-unsent",
                "caller",
                connection.caller(),
                "firstTarget",
                connection.firstTarget(),
                "firstMillis",
                connection.firstMillis(),
                "unanswered",
                connection.unanswered(),
                "ready",
                connection.ready(),
                "unsentBytes",
                connection.unsentBytes());
    }

    void onRetryDecided(RetryDecision decision) {
        int[] counts = retriesByService.computeIfAbsent(decision.service(), s -> new int[3]);
        counts[decision.granted() ? 0 : 1]++;
        counts[2] = decision.routers();
    }

    void onTargetChosen(TargetChoice choice) {
        long[] counts = choicesByService.computeIfAbsent(choice.service(), s -> new long[DISTANCES + 2]);
        counts[choice.distance().ordinal()]++;
        counts[DISTANCES] += choice.isReported() ? 1 : 0;
        counts[DISTANCES + 1] += choice.reportAgeMillis();
    }

    private void logTargetChoices(ServiceName service, long[] counts) {
        log.event(
                "target-choices",
                "service",
                service,
                "sameDomain",
                counts[Distance.SAME_DOMAIN.ordinal()],
                "sameRegion",
                counts[Distance.SAME_REGION.ordinal()],
                "otherRegion",
                counts[Distance.OTHER_REGION.ordinal()],
                "reported",
                counts[DISTANCES],
                "meanReportAgeMillis",
                counts[DISTANCES + 1] / Math.max(1, counts[DISTANCES]));
    }

    private void onFailure(CallOutcome outcome) {
        if (failureLimiter.tryAcquire(clock.nowMillis())) {
            logRequest("request-failed", outcome);
        }
    }

    private void logRequest(String event, CallOutcome outcome) {
        log.event(
                event,
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
                "configurationVersion",
                outcome.configurationVersion(),
                "tookMillis",
                outcome.tookMillis());
    }

    /**
     * Logs the totals since the last call of this method. Also logs the numbers of failures and abandoned requests
     * suppressed since then and of events dropped since the start, unless all are 0.
     *
     * @param maxDelayMillis longest delay of the traffic loop since the last call; logged where the loop was behind
     * @param admission decisions of the admission policy since the start; logged where they have changed
     */
    void flush(long maxDelayMillis, AdmissionCounts admission) {
        logAdmission(admission);
        if (maxDelayMillis >= TrafficLoop.BEHIND_MILLIS) {
            log.event("traffic-loop-delayed", "maxMillis", maxDelayMillis);
        }
        countsByRoute.forEach((route, counts) -> log.event(
                "requests", "route", route, "answered", counts[0], "failed", counts[1], "millisInAll", counts[2]));
        countsByRoute.clear();
        retriesByService.forEach((service, counts) -> log.event(
                "retries", "service", service, "granted", counts[0], "refused", counts[1], "routers", counts[2]));
        retriesByService.clear();
        choicesByService.forEach(this::logTargetChoices);
        choicesByService.clear();
        long notLogged = failureLimiter.takeSuppressedCount();
        long abandonedNotLogged = abandonedLimiter.takeSuppressedCount();
        if (notLogged > 0 || abandonedNotLogged > 0 || log.dropped() > 0) {
            log.event(
                    "log-limits",
                    "failuresNotLogged",
                    notLogged,
                    "abandonedNotLogged",
                    abandonedNotLogged,
                    "eventsDropped",
                    log.dropped());
        }
    }

    private void logAdmission(AdmissionCounts counts) {
        if (!counts.equals(loggedCounts)) {
            AdmissionCounts since = counts.minus(loggedCounts);
            log.event(
                    "admission",
                    "refusedOnArrival",
                    since.refusedOnArrival(),
                    "refusedWaiting",
                    since.refusedWaiting(),
                    "refusedReturning",
                    since.refusedReturning(),
                    "movedToFront",
                    since.movedToFront());
            loggedCounts = counts;
        }
    }
}
