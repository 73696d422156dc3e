package org.siskindyke.soak;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.soak.SoakEvent.What;

import static org.junit.jupiter.api.Assertions.assertEquals;

class SoakInvariantsTest {
    private static final String ROUTER = "127.0.0.1:7000";
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
        events.add(SoakEvent.asked(atMillis, ROUTER, "c1", -1, path));
    }

    private void notFound(long atMillis) {
        events.add(SoakEvent.answered(atMillis, ROUTER, "c1", 404, null));
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
        events.add(SoakEvent.run(10, "t0-n0", "c1", 1, 1));
        events.add(SoakEvent.answered(900, ROUTER, "c1", 502, null));
        String invariant = "planned work cuts no request";
        assertEquals(
                1,
                violations(invariant, events, new SoakPlan(List.of(), true, false))
                        .size());
        assertEquals(List.of(), violations(invariant, events));
    }

    /** Guards against a check of limits that cannot fail. */
    @Example
    void aLimitedServerThatRunsTooManyRequestsIsFound() {
        events.add(SoakEvent.of(0, What.LIMITED, "t0-n0", Integer.toString(SoakTopology.LIMIT_PER_SECOND)));
        for (int i = 0; i < 18; i++) {
            assertEquals(List.of(), violations("a named limit is kept", events));
            events.add(SoakEvent.run(3_000 + i * 200, "t0-n0", "c" + i, -1, -1));
        }
        assertEquals(1, violations("a named limit is kept", events).size());
    }

    private List<SoakEvent> lateRuns(int count) {
        List<SoakEvent> late = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            late.add(SoakEvent.left(5_000, ROUTER, "c" + i));
        }
        for (int i = 0; i < count; i++) {
            late.add(SoakEvent.run(5_600, "t0-n0", "c" + i, -1, -1));
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
}
