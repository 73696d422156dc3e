package org.siskindyke.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.siskindyke.soak.SoakEvent.What;
import org.siskindyke.standin.HeartbeatBackendStandin.GrantedRange;

/** The rules of the users' brief and of their platform that each soak checks. */
final class SoakInvariants {
    /** Time within which an evacuation must be in force, as the settings say where they say nothing. */
    static final long MAX_EVACUATION_MILLIS = 5_000;

    /** An outdated grant may be recorded up to this long after its router or backend server was thawed. */
    private static final long THAW_TOLERANCE_MILLIS = 300;
    /** Time in which a new configuration must be in force at routers that count as undisturbed. */
    private static final long MAX_APPLY_MILLIS = 2_500;
    /** Time without a fault of a router or of the store after which the router counts as undisturbed. */
    private static final long UNDISTURBED_MILLIS = 3_000;

    /** Backend servers that a request may end, and how often it may run later than that. */
    private static final int MAX_CRASHES = 3;

    private static final int MAX_LATE_RUNS = 3;

    /** Time after SIGTERM from which on a request that is sent must not run beside the router that stops. */
    private static final long MAX_TAKEN_WHILE_STOPPING_MILLIS = 3_000;

    /** Time in which the answer of a backend server reaches the caller. */
    private static final long MAX_RETURN_MILLIS = 700;

    /** Time after its caller has left from which on a request must not begin to run. */
    private static final long MAX_ABANDONED_MILLIS = 500;

    /** Window in which the requests of a limited backend server are counted. */
    private static final long LIMIT_WINDOW_MILLIS = 4_000;
    /** Requests that a backend server may get in the window, by the rules of the users' platform. */
    private static final double MAX_LIMITED_RUNS =
            1.5 * SoakTopology.LIMIT_PER_SECOND * LIMIT_WINDOW_MILLIS / 1_000 + 5;

    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int BAD_GATEWAY = 502;

    private SoakInvariants() {}

    static List<SoakInvariant> all() {
        return List.of(
                invariant("one owner", (events, plan) -> oneOwner(events)),
                invariant("fencing tokens increase", (events, plan) -> tokensIncrease(events)),
                invariant("at most once", (events, plan) -> atMostOnce(events)),
                invariant("a refused request has not run", (events, plan) -> refusedRequestsNotRun(events)),
                invariant("answers are right and whole", (events, plan) -> correctAnswers(events)),
                invariant("answers are those of their runs", (events, plan) -> answersOfTheirRuns(events)),
                invariant("planned work cuts no request", SoakInvariants::noInterruptedRequests),
                invariant("a finished answer arrives", SoakInvariants::finishedAnswersArrive),
                invariant("a stopping router takes no calls", (events, plan) -> stoppingRoutersTakeNoCalls(events)),
                invariant("a leaving server drains in time", (events, plan) -> drainsInTime(events)),
                invariant("the configuration is in force in time", (events, plan) -> configurationApplied(events)),
                invariant("requests that end servers are refused", (events, plan) -> crashingRequestsRefused(events)),
                invariant("callers that left get no work", (events, plan) -> abandonedRequestsNotRun(events)),
                invariant("a named limit is kept", (events, plan) -> limitsKept(events)),
                invariant("an evacuated domain runs nothing", (events, plan) -> evacuationsObeyed(events)),
                invariant("served again in time", (events, plan) -> faultsRecordedAs(events, SoakRun.NOT_SERVED)),
                invariant(
                        "no router ends by itself",
                        (events, plan) -> faultsRecordedAs(events, SoakRun.UNEXPECTED_EXIT)));
    }

    /** Finds the violations of one invariant. */
    private interface Check {
        List<String> violations(List<SoakEvent> events, SoakPlan plan);
    }

    private static SoakInvariant invariant(String name, Check check) {
        return new SoakInvariant() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public List<String> violations(List<SoakEvent> events, SoakPlan plan) {
                return check.violations(events, plan);
            }
        };
    }

    private static boolean isGranted(SoakEvent grant, int key, long atMillis) {
        return grant != null
                && grant.rows() != null
                && atMillis < grant.untilMillis()
                && grant.rows().stream().anyMatch(row -> row.first() <= key && key <= row.last());
    }

    private static List<String> oneOwner(List<SoakEvent> events) {
        List<String> violations = new ArrayList<>();
        Map<String, SoakEvent> grantByTarget = new HashMap<>();
        Map<String, Long> thawedAtMillis = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() == What.HOLDS) {
                grantByTarget.put(event.who(), event);
            } else if (event.what() == What.FAULT && event.detail().equals(SoakEvent.TARGET_DOWN)) {
                grantByTarget.remove(event.who());
            } else if (event.what() == What.MENDED) {
                thawedAtMillis.put(event.who(), event.atMillis());
            } else if (event.what() == What.RUN && event.key() >= 0) {
                grantByTarget.forEach((differentServer, grant) -> {
                    boolean justThawed =
                            event.atMillis() - thawedAtMillis.getOrDefault(differentServer, Long.MIN_VALUE / 2)
                                    < THAW_TOLERANCE_MILLIS;
                    if (!differentServer.equals(event.who())
                            && !justThawed
                            && isGranted(grant, event.key(), event.atMillis())) {
                        violations.add(event.atMillis() + ": " + event.who() + " runs " + event.requestId() + " of key "
                                + event.key() + " with token " + event.token() + " while " + differentServer
                                + " holds it: "
                                + rowContaining(grant, event.key()) + " until " + grant.untilMillis());
                    }
                });
            }
        }
        return violations;
    }

    private static GrantedRange rowContaining(SoakEvent grant, int key) {
        return grant.rows().stream()
                .filter(row -> row.first() <= key && key <= row.last())
                .findFirst()
                .orElseThrow();
    }

    private static List<String> tokensIncrease(List<SoakEvent> events) {
        List<String> violations = new ArrayList<>();
        Map<Integer, SoakEvent> previousByKey = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() != What.RUN || event.key() < 0) {
                continue;
            }
            SoakEvent previous = previousByKey.put(event.key(), event);
            boolean differentServer = previous != null && !previous.who().equals(event.who());
            if (previous != null
                    && (differentServer ? event.token() <= previous.token() : event.token() < previous.token())) {
                violations.add(event.atMillis() + ": " + event.who() + " runs key " + event.key() + " with token "
                        + event.token() + " after " + previous.who() + " ran it with " + previous.token());
            }
        }
        return violations;
    }

    private static Map<String, Integer> runsByRequest(List<SoakEvent> events) {
        Map<String, Integer> runs = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() == What.RUN) {
                runs.merge(event.requestId(), 1, Integer::sum);
            }
        }
        return runs;
    }

    /** Returns the first attempts of all requests by id. */
    private static Map<String, SoakEvent> requestsById(List<SoakEvent> events) {
        Map<String, SoakEvent> requests = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() == What.ASKED) {
                requests.putIfAbsent(event.requestId(), event);
            }
        }
        return requests;
    }

    /** A caller's attempt of a request. */
    private record Attempt(String requestId, int number) {
        private static Attempt of(SoakEvent event) {
            return new Attempt(event.requestId(), event.attempt());
        }
    }

    private static Map<Attempt, SoakEvent> requestsByAttempt(List<SoakEvent> events) {
        Map<Attempt, SoakEvent> requests = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() == What.ASKED) {
                requests.put(Attempt.of(event), event);
            }
        }
        return requests;
    }

    private static Map<String, SoakEvent> byRun(List<SoakEvent> events, What what) {
        Map<String, SoakEvent> found = new HashMap<>();
        events.stream().filter(event -> event.what() == what).forEach(event -> found.put(event.run(), event));
        return found;
    }

    private static boolean isUnsafe(SoakEvent request) {
        return request != null && SoakCallers.UNSAFE.equals(request.detail());
    }

    private static List<String> atMostOnce(List<SoakEvent> events) {
        Map<String, SoakEvent> requests = requestsById(events);
        List<String> violations = new ArrayList<>();
        runsByRequest(events).forEach((id, runs) -> {
            if (runs > 1 && isUnsafe(requests.get(id))) {
                violations.add(id + " ran " + runs + " times");
            }
        });
        return violations;
    }

    private static List<String> refusedRequestsNotRun(List<SoakEvent> events) {
        Map<String, SoakEvent> requests = requestsById(events);
        Map<String, Integer> runs = runsByRequest(events);
        List<String> violations = new ArrayList<>();
        for (SoakEvent event : events) {
            if (event.what() == What.ANSWERED
                    && NOT_RUN_STATUSES.contains(event.status())
                    && isUnsafe(requests.get(event.requestId()))
                    && runs.containsKey(event.requestId())) {
                violations.add(event.requestId() + " was answered " + event.status() + " at " + event.atMillis()
                        + " and has run");
            }
        }
        return violations;
    }

    private static List<String> correctAnswers(List<SoakEvent> events) {
        return events.stream()
                .filter(event -> event.what() == What.ANSWERED && event.detail() != null)
                .map(event -> event.requestId() + ": " + event.detail())
                .toList();
    }

    /**
     * Checks that a success, or a failure with a signature, is what a backend server answered to a run of the request
     * that began after the caller sent this attempt. A copy of a response that lacked its signature must not be the
     * answer once the request has been sent again.
     */
    private static List<String> answersOfTheirRuns(List<SoakEvent> events) {
        Map<String, SoakEvent> runs = byRun(events, What.RUN);
        Map<String, SoakEvent> responses = byRun(events, What.RESPONDED);
        Map<Attempt, SoakEvent> attempts = requestsByAttempt(events);
        List<String> violations = new ArrayList<>();
        for (SoakEvent event : events) {
            if (event.what() != What.ANSWERED || event.run() == null && event.status() != OK) {
                continue;
            }
            SoakEvent response = responses.get(event.run());
            SoakEvent run = runs.get(event.run());
            SoakEvent asked = attempts.get(Attempt.of(event));
            String answer = event.requestId() + " at " + event.who() + " was answered " + event.status() + " at "
                    + event.atMillis() + " by " + event.run();
            if (response == null || run == null || !event.requestId().equals(response.requestId())) {
                violations.add(answer + ", which is no run of it");
            } else if (event.status() != response.status()) {
                violations.add(answer + ", which was answered " + response.status());
            } else if (run.atMillis() < asked.atMillis()) {
                violations.add(answer + ", which began at " + run.atMillis() + ", before the caller sent it at "
                        + asked.atMillis());
            } else if (SoakEvent.UNSIGNED.equals(response.detail()) && ranAgain(events, response)) {
                violations.add(answer + ", which was answered without its signature, so that the request ran again");
            }
        }
        return violations;
    }

    /** Returns whether a request that its caller sent once has run again after the response to a run. */
    private static boolean ranAgain(List<SoakEvent> events, SoakEvent response) {
        List<SoakEvent> ofRequest = events.stream()
                .filter(event -> response.requestId().equals(event.requestId()))
                .toList();
        return requestsByAttempt(ofRequest).size() == 1
                && ofRequest.stream()
                        .anyMatch(event -> event.what() == What.RUN
                                && event.atMillis() >= response.atMillis()
                                && !event.run().equals(response.run()));
    }

    /**
     * Checks soaks with planned work only; the connection of a request that no backend server has run may fail. A
     * router that loses the answer to a request which ran at another one responds with 502.
     */
    private static List<String> noInterruptedRequests(List<SoakEvent> events, SoakPlan plan) {
        List<String> violations = new ArrayList<>();
        Map<String, Integer> runs = runsByRequest(events);
        for (SoakEvent event : events) {
            boolean failed = event.what() == What.ANSWERED && (event.status() == 0 || event.status() == BAD_GATEWAY);
            boolean outlastsStop = failed && event.requestId().startsWith(PipeliningCaller.LONG_ID);
            if (plan.plannedOnly()
                    && failed
                    && !outlastsStop
                    && runs.containsKey(event.requestId())
                    && mayHaveRun(events, event)) {
                violations.add(event.requestId() + " at " + event.who() + " was interrupted at " + event.atMillis());
            }
        }
        return violations;
    }

    /**
     * Returns whether a failed attempt may have run, given that its request has: not where all runs that began after
     * it was sent are those that answers to other attempts name, or may be those of an attempt whose caller left or
     * that is unanswered at the end of the soak.
     */
    private static boolean mayHaveRun(List<SoakEvent> events, SoakEvent failed) {
        List<SoakEvent> ofRequest = events.stream()
                .filter(event -> failed.requestId().equals(event.requestId()))
                .toList();
        Map<Attempt, SoakEvent> attempts = requestsByAttempt(ofRequest);
        if (attempts.size() == 1) {
            return true;
        }
        long sentMillis = attempts.get(Attempt.of(failed)).atMillis();
        Map<String, SoakEvent> answers = byRun(ofRequest, What.ANSWERED);
        long unanswered = ofRequest.stream()
                .filter(event -> event.what() == What.RUN && event.atMillis() >= sentMillis)
                .filter(event -> !answers.containsKey(event.run()))
                .count();
        long answered = ofRequest.stream()
                .filter(event -> event.what() == What.ANSWERED)
                .map(Attempt::of)
                .distinct()
                .count();
        return unanswered > attempts.size() - answered;
    }

    /**
     * Checks, in soaks with planned work only, that a caller gets the answer that a backend server has given to its
     * only attempt, whatever else it waits for on its connection and whether the router stops.
     */
    private static List<String> finishedAnswersArrive(List<SoakEvent> events, SoakPlan plan) {
        if (!plan.plannedOnly()) {
            return List.of();
        }
        Map<String, Integer> attempts = new HashMap<>();
        Map<String, Long> respondedMillis = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (SoakEvent event : events) {
            if (event.what() == What.ASKED) {
                attempts.merge(event.requestId(), 1, Integer::sum);
            } else if (event.what() == What.RESPONDED) {
                respondedMillis.put(event.requestId(), event.atMillis());
            } else if (event.what() == What.ANSWERED && (event.status() == 0 || event.status() == BAD_GATEWAY)) {
                long sinceMillis =
                        event.atMillis() - respondedMillis.getOrDefault(event.requestId(), Long.MAX_VALUE / 2);
                if (sinceMillis > MAX_RETURN_MILLIS && attempts.getOrDefault(event.requestId(), 0) == 1) {
                    violations.add(event.requestId() + " at " + event.who() + " got " + event.status() + " at "
                            + event.atMillis() + ", " + sinceMillis + " ms after it was answered");
                }
            }
        }
        return violations;
    }

    /** A stopping router is ended at the end of its grace period, so requests that come late must not begin to run. */
    private static List<String> stoppingRoutersTakeNoCalls(List<SoakEvent> events) {
        Map<String, SoakEvent> requests = requestsById(events);
        Map<String, Long> stoppingSinceMillis = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (SoakEvent event : events) {
            if (event.what() == What.STOPPING) {
                stoppingSinceMillis.put(event.who(), event.atMillis());
            } else if (event.what() == What.STOPPED) {
                stoppingSinceMillis.remove(event.who());
            } else if (event.what() == What.RUN && requests.containsKey(event.requestId())) {
                String instance = event.who().substring(event.who().indexOf('-') + 1);
                long sinceMillis = stoppingSinceMillis.getOrDefault(instance, Long.MAX_VALUE);
                if (requests.get(event.requestId()).atMillis() - MAX_TAKEN_WHILE_STOPPING_MILLIS > sinceMillis) {
                    violations.add(event.requestId() + " runs at " + event.who() + " at " + event.atMillis()
                            + ", its router stops since " + sinceMillis);
                }
            }
        }
        return violations;
    }

    /** Checks that a leaving server begins no run after the drain time; one that has crashed starts as another. */
    private static List<String> drainsInTime(List<SoakEvent> events) {
        List<String> violations = new ArrayList<>();
        Map<String, Long> leavingSinceMillis = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() == What.LEAVING) {
                leavingSinceMillis.putIfAbsent(event.who(), event.atMillis());
            } else if (event.what() == What.FAULT && SoakEvent.TARGET_DOWN.equals(event.detail())) {
                leavingSinceMillis.remove(event.who());
            } else if (event.what() == What.RUN && leavingSinceMillis.containsKey(event.who())) {
                long sinceMillis = event.atMillis() - leavingSinceMillis.get(event.who());
                if (sinceMillis > SoakTopology.DRAIN_MILLIS) {
                    violations.add(event.requestId() + " reached " + event.who() + " " + sinceMillis
                            + " ms after the acknowledgement that it leaves");
                }
            }
        }
        return violations;
    }

    private static List<String> configurationApplied(List<SoakEvent> events) {
        List<String> violations = new ArrayList<>();
        Map<Attempt, SoakEvent> requests = requestsByAttempt(events);
        SoakEvent latest = null;
        for (SoakEvent event : events) {
            if (event.what() == What.CONFIGURED) {
                latest = event;
                continue;
            }
            SoakEvent request = event.what() == What.ANSWERED ? requests.get(Attempt.of(event)) : null;
            // A route of an earlier configuration may be gone as soon as a later one is written.
            if (request == null || latest == null || event.status() != NOT_FOUND || !hasRoute(latest, request)) {
                continue;
            }
            long sinceMillis = request.atMillis() - latest.atMillis();
            if (sinceMillis > MAX_APPLY_MILLIS && isUndisturbed(events, request)) {
                violations.add(request.requestId() + " on " + request.detail() + " at " + request.who()
                        + " was not found " + sinceMillis + " ms after its configuration was written");
            }
        }
        return violations;
    }

    private static boolean hasRoute(SoakEvent configured, SoakEvent request) {
        return SoakTopology.markedPath(Integer.parseInt(configured.detail())).equals(request.detail());
    }

    /** Returns whether neither router nor store had a fault for {@link #UNDISTURBED_MILLIS} before a request. */
    private static boolean isUndisturbed(List<SoakEvent> events, SoakEvent request) {
        long sinceMillis = request.atMillis() - UNDISTURBED_MILLIS;
        Map<String, Integer> activeFaults = new HashMap<>();
        for (SoakEvent event : events) {
            boolean concernsRequest = request.who().equals(event.who()) || SoakRun.STORE.equals(event.who());
            boolean fault = event.what() == What.FAULT || event.what() == What.MENDED;
            if (!concernsRequest || !fault || event.atMillis() > request.atMillis()) {
                continue;
            }
            if (event.atMillis() >= sinceMillis) {
                return false;
            }
            activeFaults.merge(event.who(), event.what() == What.FAULT ? 1 : -1, Integer::sum);
        }
        return activeFaults.values().stream().allMatch(count -> count <= 0);
    }

    /** Checks the rule of the users' platform on requests that end the backend servers which run them. */
    private static List<String> crashingRequestsRefused(List<SoakEvent> events) {
        Map<String, List<Long>> crashesMillis = new HashMap<>();
        Map<String, Integer> lateRuns = new TreeMap<>();
        for (SoakEvent event : events) {
            String request = crashingRequestOf(event);
            if (request == null) {
                continue;
            }
            List<Long> crashes = crashesMillis.computeIfAbsent(request, r -> new ArrayList<>());
            if (event.what() == What.FAULT) {
                crashes.add(event.atMillis());
            } else if (event.what() == What.RUN
                    && crashes.size() >= MAX_CRASHES
                    && event.atMillis() - crashes.get(MAX_CRASHES - 1) > UNDISTURBED_MILLIS) {
                lateRuns.merge(request, 1, Integer::sum);
            }
        }
        return lateRuns.entrySet().stream()
                .filter(entry -> entry.getValue() > MAX_LATE_RUNS)
                .map(entry -> entry.getKey() + " ran " + entry.getValue() + " times more")
                .toList();
    }

    /** Checks that requests whose callers left do not begin to run later, while no router is disturbed. */
    private static List<String> abandonedRequestsNotRun(List<SoakEvent> events) {
        List<String> late = new ArrayList<>();
        Map<String, Long> leftMillis = new HashMap<>();
        Map<String, Integer> openAttempts = new HashMap<>();
        Map<String, Integer> activeFaults = new HashMap<>();
        long disturbedMillis = Long.MIN_VALUE / 2;
        for (SoakEvent event : events) {
            if (isOfRouterFault(event)) {
                activeFaults.merge(event.who() + event.detail(), event.what() == What.FAULT ? 1 : -1, Integer::sum);
                disturbedMillis = event.atMillis();
            } else if (event.what() == What.ASKED) {
                openAttempts.merge(event.requestId(), 1, Integer::sum);
                leftMillis.remove(event.requestId());
            } else if (event.what() == What.ANSWERED) {
                openAttempts.merge(event.requestId(), -1, Integer::sum);
            } else if (event.what() == What.LEFT) {
                if (openAttempts.merge(event.requestId(), -1, Integer::sum) <= 0) {
                    leftMillis.put(event.requestId(), event.atMillis());
                }
            } else if (event.what() == What.RUN && leftMillis.containsKey(event.requestId())) {
                long sinceMillis = event.atMillis() - leftMillis.get(event.requestId());
                boolean calm = event.atMillis() - disturbedMillis > UNDISTURBED_MILLIS
                        && activeFaults.values().stream().allMatch(count -> count <= 0);
                if (calm && sinceMillis > MAX_ABANDONED_MILLIS) {
                    late.add(event.requestId() + " ran at " + event.who() + " " + sinceMillis
                            + " ms after its caller left");
                }
            }
        }
        return late.size() > MAX_LATE_RUNS ? late : List.of();
    }

    /** Returns whether an event is the start or the end of a fault of one or all routers. */
    private static boolean isOfRouterFault(SoakEvent event) {
        boolean fault = event.what() == What.FAULT || event.what() == What.MENDED;
        return fault
                && Stream.of(SoakFault.values())
                        .filter(kind -> kind.name().equals(event.detail()))
                        .anyMatch(kind -> kind.component().affectsRouters());
    }

    /** Checks the requests that a limited backend server gets, from some time after it named its limit. */
    private static List<String> limitsKept(List<SoakEvent> events) {
        List<String> violations = new ArrayList<>();
        Map<String, Long> limitedSinceMillis = new HashMap<>();
        Map<String, Deque<Long>> recentRuns = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() == What.LIMITED) {
                recentRuns.remove(event.who());
                limitedSinceMillis.remove(event.who());
                if (!event.detail().equals("0")) {
                    limitedSinceMillis.put(event.who(), event.atMillis());
                }
                continue;
            }
            Long sinceMillis = event.what() == What.RUN ? limitedSinceMillis.get(event.who()) : null;
            if (sinceMillis == null || event.atMillis() - sinceMillis < UNDISTURBED_MILLIS) {
                continue;
            }
            Deque<Long> runs = recentRuns.computeIfAbsent(event.who(), who -> new ArrayDeque<>());
            runs.add(event.atMillis());
            while (event.atMillis() - runs.getFirst() >= LIMIT_WINDOW_MILLIS) {
                runs.remove();
            }
            if (runs.size() > MAX_LIMITED_RUNS) {
                violations.add(event.atMillis() + ": " + event.who() + " ran " + runs.size() + " requests within "
                        + LIMIT_WINDOW_MILLIS + " ms");
            }
        }
        return violations;
    }

    /** Checks that no backend server of an evacuated failure domain begins a run after the time allowed for that. */
    private static List<String> evacuationsObeyed(List<SoakEvent> events) {
        List<String> violations = new ArrayList<>();
        Map<String, SoakEvent> orders = new HashMap<>();
        for (SoakEvent event : events) {
            if (event.what() == What.EVACUATED) {
                orders.put(event.who(), event);
            } else if (event.what() == What.RUN) {
                String instance = event.who().substring(event.who().indexOf('-') + 1);
                orders.values().stream()
                        .filter(order -> List.of(order.detail().split(",")).contains(instance))
                        .filter(order -> event.atMillis() - order.atMillis() > MAX_EVACUATION_MILLIS)
                        .forEach(order -> violations.add(event.atMillis() + ": " + event.who() + " in evacuated "
                                + order.who() + " ran " + event.requestId()));
            }
        }
        return violations;
    }

    /** Returns the part of a request's id that is the same each time it is sent; null for other requests. */
    private static String crashingRequestOf(SoakEvent event) {
        String id = event.requestId();
        return id == null || !id.startsWith(SoakCallers.CRASH_ID) ? null : id.substring(0, id.indexOf('-'));
    }

    /** Returns the details of the faults that the soak recorded under a name. */
    private static List<String> faultsRecordedAs(List<SoakEvent> events, String who) {
        return events.stream()
                .filter(event -> event.what() == What.FAULT && who.equals(event.who()))
                .map(SoakEvent::detail)
                .toList();
    }
}
