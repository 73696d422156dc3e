package org.siskindyke.soak;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.soak.SoakEvent.What;

import static org.junit.jupiter.api.Assertions.assertEquals;

class SoakInvariantsTest {
    private static final String ROUTER = "127.0.0.1:7000";
    private static final String OF_THEIR_RUNS = "answers are those of their runs";
    private static final SoakPlan NO_FAULTS = new SoakPlan(List.of(), false, false);
    private static final long WRITTEN_MILLIS = 1_000;
    private static final long LATE_MILLIS = WRITTEN_MILLIS + 3_589;

    private final List<SoakEvent> events = new ArrayList<>();

    private static List<String> violations(List<SoakEvent> events) {
        return violations("the configuration is in force in time", events);
    }

    private static List<String> violations(String name, List<SoakEvent> events) {
        return violations(name, events, NO_FAULTS);
    }

    private static List<String> violations(String name, List<SoakEvent> events, SoakPlan plan) {
        return SoakInvariants.all().stream()
                .filter(invariant -> invariant.name().equals(name))
                .findFirst()
                .orElseThrow()
                .violations(events, plan);
    }

    private void configured(long atMillis, int version) {
        events.add(SoakEvent.of(atMillis, What.CONFIGURED, "operator", Integer.toString(version)));
    }

    private void asked(long atMillis, String path) {
        events.add(SoakEvent.asked(atMillis, ROUTER, "c1", 0, -1, path));
    }

    private void notFound(long atMillis) {
        events.add(SoakEvent.answered(atMillis, ROUTER, "c1", 0, null, 404, null));
    }

    @Example
    void aRouteOfTheLatestConfigurationMustBeFoundInTime() {
        configured(WRITTEN_MILLIS, 2);
        asked(LATE_MILLIS, "/v2/");
        notFound(LATE_MILLIS + 25);
        assertEquals(1, violations(events).size());
    }

    /** Guards against a violation for a route that the next configuration removed while the request was on its way. */
    @Example
    void aRouteThatTheNextConfigurationRemovesNeedNotBeFound() {
        configured(WRITTEN_MILLIS, 2);
        asked(LATE_MILLIS, "/v2/");
        configured(LATE_MILLIS, 3);
        notFound(LATE_MILLIS + 25);
        assertEquals(List.of(), violations(events));
    }

    /** Guards against calls that a stopping router cuts, and whose callers another router answers. */
    @Example
    void aRequestThatRanAndIsAnsweredWithoutItsResponseIsAViolationOfPlannedWork() {
        asked(0, "/s/1400");
        events.add(SoakEvent.run(10, "t0-n0", "c1", "r1", 1, 1));
        events.add(SoakEvent.answered(900, ROUTER, "c1", 0, null, 502, null));
        String invariant = "planned work cuts no request";
        assertEquals(
                1,
                violations(invariant, events, new SoakPlan(List.of(), true, false))
                        .size());
        assertEquals(List.of(), violations(invariant, events));
    }

    /** Guards against the same violation for a run of a later attempt, which is unanswered as the soak ends. */
    @Example
    void aRunOfAnAttemptThatIsUnansweredAtTheEndIsNotThatOfTheFailedOne() {
        SoakPlan planned = new SoakPlan(List.of(), true, false);
        String invariant = "planned work cuts no request";
        asked(0, "/s/1400");
        events.add(SoakEvent.answered(900, ROUTER, "c1", 0, null, 502, null));
        events.add(SoakEvent.asked(1_000, ROUTER, "c1", 1, -1, "/s/1400"));
        events.add(SoakEvent.run(1_010, "t0-n0", "c1", "r1", 1, 1));
        assertEquals(List.of(), violations(invariant, events, planned));
        events.add(SoakEvent.run(1_020, "t0-n1", "c1", "r2", 1, 1));
        assertEquals(1, violations(invariant, events, planned).size());
    }

    /** Guards against a check that misses answers which a stopping router keeps, or counts those it had no time for. */
    @Example
    void anAnswerThatIsKeptUntilTheConnectionEndsIsAViolationOfPlannedWork() {
        SoakPlan planned = new SoakPlan(List.of(), true, false);
        asked(0, PipeliningCaller.ROUTE);
        events.add(SoakEvent.responded(300, "t0-n0", "c1", "r1", 200, true));
        events.add(SoakEvent.answered(900, ROUTER, "c1", 0, null, 0, null));
        assertEquals(List.of(), violations("a finished answer arrives", events, planned));
        events.add(SoakEvent.answered(1_100, ROUTER, "c1", 0, null, 0, null));
        assertEquals(1, violations("a finished answer arrives", events, planned).size());
        assertEquals(List.of(), violations("a finished answer arrives", events));
    }

    /** Guards against a violation for a server that crashed while it left, and serves again under its name. */
    @Example
    void aServerThatHasLeftMayServeOnlyOnceItHasStartedAgain() {
        String invariant = "a leaving server drains in time";
        events.add(SoakEvent.of(0, What.LEAVING, "t0-n2", null));
        events.add(SoakEvent.crashed(900, "t0-n2", "x1-1"));
        events.add(SoakEvent.run(2_500, "t0-n2", "c1", "r1", -1, -1));
        assertEquals(List.of(), violations(invariant, events));
        events.add(SoakEvent.of(2_600, What.LEAVING, "t0-n2", null));
        events.add(SoakEvent.crashed(2_700, "t0-n1", "x1-2"));
        events.add(SoakEvent.run(4_700, "t0-n2", "c2", "r2", -1, -1));
        assertEquals(1, violations(invariant, events).size());
    }

    /** Guards against a check of limits that cannot fail. */
    @Example
    void aLimitedServerThatRunsTooManyRequestsIsFound() {
        events.add(SoakEvent.of(0, What.LIMITED, "t0-n0", Integer.toString(SoakTopology.LIMIT_PER_SECOND)));
        for (int i = 0; i < 18; i++) {
            assertEquals(List.of(), violations("a named limit is kept", events));
            events.add(SoakEvent.run(3_000 + i * 200, "t0-n0", "c" + i, "r" + i, -1, -1));
        }
        assertEquals(1, violations("a named limit is kept", events).size());
    }

    /** Guards against a check that misses requests to an evacuated failure domain, or counts those of others. */
    @Example
    void aRunInAnEvacuatedFailureDomainIsAViolationOnceTheOrderMustBeInForce() {
        List<SoakEvent> events = new ArrayList<>();
        events.add(SoakEvent.of(0, What.EVACUATED, "d0", "n0,n1"));
        events.add(SoakEvent.run(4_900, "t0-n1", "c1", "r1", -1, -1));
        events.add(SoakEvent.run(5_100, "t0-n2", "c2", "r2", -1, -1));
        assertEquals(List.of(), violations("an evacuated domain runs nothing", events));
        events.add(SoakEvent.run(5_200, "t0-n1", "c3", "r3", -1, -1));
        assertEquals(1, violations("an evacuated domain runs nothing", events).size());
        events.add(SoakEvent.of(9_000, What.EVACUATED, "d0", ""));
        events.add(SoakEvent.run(9_100, "t0-n1", "c4", "r4", -1, -1));
        assertEquals(1, violations("an evacuated domain runs nothing", events).size());
    }

    private List<SoakEvent> lateRuns(int count) {
        List<SoakEvent> late = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            late.add(SoakEvent.left(5_000, ROUTER, "c" + i, 0));
        }
        for (int i = 0; i < count; i++) {
            late.add(SoakEvent.run(5_600, "t0-n0", "c" + i, "r" + i, -1, -1));
        }
        return late;
    }

    @Example
    void requestsThatRunAfterTheirCallersLeftAreFound() {
        assertEquals(4, violations("callers that left get no work", lateRuns(4)).size());
        assertEquals(List.of(), violations("callers that left get no work", lateRuns(3)));
    }

    @Example
    void requestsThatRunLateBesideAFrozenRouterAreAllowed() {
        events.add(SoakEvent.of(4_900, What.FAULT, ROUTER, SoakFault.FREEZE_ROUTER.name()));
        events.addAll(lateRuns(4));
        assertEquals(List.of(), violations("callers that left get no work", events));
    }

    private void run(long atMillis, String id, String run, int status) {
        events.add(SoakEvent.run(atMillis, "t0-n0", id, run, -1, -1));
        events.add(SoakEvent.responded(atMillis + 5, "t0-n0", id, run, status, true));
    }

    private void asked(long atMillis, int attempt) {
        events.add(SoakEvent.asked(atMillis, ROUTER, "c1", attempt, -1, "/s/"));
    }

    private void answered(long atMillis, int attempt, String run, int status) {
        events.add(SoakEvent.answered(atMillis, ROUTER, "c1", attempt, run, status, null));
    }

    @Example
    void theAnswersOfTheirRunsAreRight() {
        asked(0, 0);
        run(10, "c1", "r1", 200);
        answered(20, 0, "r1", 200);
        asked(30, 1);
        run(40, "c1", "r2", 500);
        answered(50, 1, "r2", 500);
        assertEquals(List.of(), violations(OF_THEIR_RUNS, events));
    }

    /** Guards against a check that takes the late copy of an earlier run's response for the answer to a later one. */
    @Example
    void theAnswerOfARunBeforeTheAttemptIsFound() {
        asked(0, 0);
        run(10, "c1", "r1", 200);
        answered(20, 0, "r1", 200);
        asked(30, 1);
        run(40, "c1", "r2", 500);
        answered(50, 1, "r1", 200);
        assertEquals(1, violations(OF_THEIR_RUNS, events).size());
    }

    @Example
    void anAnswerWithAnotherStatusThanItsRunIsFound() {
        asked(0, 0);
        run(10, "c1", "r1", 500);
        answered(20, 0, "r1", 200);
        assertEquals(1, violations(OF_THEIR_RUNS, events).size());
    }

    @Example
    void aFailureWithTheSignatureOfASuccessIsFound() {
        asked(0, 0);
        run(10, "c1", "r1", 200);
        answered(20, 0, "r1", 500);
        assertEquals(1, violations(OF_THEIR_RUNS, events).size());
    }

    private void unsignedRun(long atMillis, String run) {
        events.add(SoakEvent.run(atMillis, "t0-n0", "c1", run, -1, -1));
        events.add(SoakEvent.responded(atMillis + 5, "t0-n0", "c1", run, 200, false));
    }

    /** Guards against a check that passes the copy of a response that counted as lost before the request ran again. */
    @Example
    void theSignedCopyOfAnUnsignedResponseIsFoundOnceTheRequestRanAgain() {
        asked(0, 0);
        unsignedRun(10, "r1");
        run(20, "c1", "r2", 500);
        answered(30, 0, "r1", 200);
        assertEquals(1, violations(OF_THEIR_RUNS, events).size());
    }

    /** The response may be lost behind bytes that belong to no request; its copy is then the first that arrives. */
    @Example
    void theSignedCopyOfAnUnsignedResponseIsAllowedWhileThereIsNoFurtherRun() {
        asked(0, 0);
        unsignedRun(10, "r1");
        answered(30, 0, "r1", 200);
        assertEquals(List.of(), violations(OF_THEIR_RUNS, events));
    }

    @Example
    void theAnswerOfAnotherRequestIsFound() {
        asked(0, 0);
        run(10, "c2", "r1", 200);
        answered(20, 0, "r1", 200);
        assertEquals(1, violations(OF_THEIR_RUNS, events).size());
    }

    @Example
    void aSuccessThatNamesNoRunIsFound() {
        asked(0, 0);
        answered(20, 0, null, 200);
        assertEquals(1, violations(OF_THEIR_RUNS, events).size());
    }

    @Example
    void aFailureOfTheRouterNamesNoRun() {
        asked(0, 0);
        run(10, "c1", "r1", 200);
        answered(20, 0, null, 502);
        assertEquals(List.of(), violations(OF_THEIR_RUNS, events));
    }

    /** Guards against a check that takes the run of an earlier attempt for that of a failed one. */
    @Example
    void aLaterAttemptThatFailsBeforeItRunsIsNotInterrupted() {
        SoakPlan planned = new SoakPlan(List.of(), true, false);
        asked(0, 0);
        run(10, "c1", "r1", 200);
        answered(20, 0, "r1", 200);
        asked(30, 1);
        answered(50, 1, null, 0);
        assertEquals(List.of(), violations("planned work cuts no request", events, planned));
        run(40, "c1", "r2", 200);
        assertEquals(
                1, violations("planned work cuts no request", events, planned).size());
    }

    @Example
    void aRunForAnAttemptAfterTheCallerLeftIsNotLate() {
        for (int i = 0; i < 4; i++) {
            events.add(SoakEvent.asked(4_000, ROUTER, "c" + i, 0, -1, "/s/"));
            events.add(SoakEvent.left(5_000, ROUTER, "c" + i, 0));
            events.add(SoakEvent.asked(5_500, ROUTER, "c" + i, 1, -1, "/s/"));
            events.add(SoakEvent.run(5_600, "t0-n0", "c" + i, "r" + i, -1, -1));
        }
        assertEquals(List.of(), violations("callers that left get no work", events));
    }
}
