package org.siskindyke.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs a short soak with real processes, and one in which backend servers violate an invariant on purpose. */
class SoakTest {
    private static final int INSTANCES = 3;
    private static final int PEER_RESETS = 24;
    private static final long PEER_RESET_INTERVAL_MILLIS = 250;
    private static final List<SoakPlan.Step> STEPS = List.of(
            new SoakPlan.Step(500, 2_500, SoakFault.REPLACE_TARGET, 0),
            new SoakPlan.Step(500, 8_000, SoakFault.CRASHING_REQUEST, 0),
            new SoakPlan.Step(1_000, 1_500, SoakFault.STORE_ANSWER_LOST, 0),
            new SoakPlan.Step(500, 7_500, SoakFault.HANG_UP_ROUTER, 2),
            new SoakPlan.Step(1_000, 4_000, SoakFault.STRAY_RESPONSES, 1),
            new SoakPlan.Step(1_200, 500, SoakFault.ODD_ENTRIES, 2),
            new SoakPlan.Step(3_500, 500, SoakFault.KILL_ROUTER, 1),
            new SoakPlan.Step(4_000, 500, SoakFault.CHANGE_CONFIGURATION, 0));

    private static SoakRun.Verdict run(SoakPlan plan) throws IOException, InterruptedException {
        return run(plan, INSTANCES);
    }

    private static SoakRun.Verdict run(SoakPlan plan, int instances) throws IOException, InterruptedException {
        File directory = Files.createTempDirectory("soak").toFile();
        return new SoakRun(SoakTopology.of(instances), plan, directory).run();
    }

    @Example
    void invariantsHoldWhileServersLeaveAndRoutersAreKilled() throws IOException, InterruptedException {
        SoakRun.Verdict verdict = run(new SoakPlan(STEPS, false, false));
        assertEquals(Map.of(), verdict.violations());
        assertTrue(verdict.served() > verdict.requests() / 2, verdict.toString());
    }

    /**
     * Guards against routers that forget, when all of them restart, that a backend server has left: a heartbeat of it
     * that arrives late was taken for that of a new one.
     */
    @Example
    void aServerThatHasLeftStaysUnusedAfterAllRoutersAreKilled() throws IOException, InterruptedException {
        List<SoakPlan.Step> steps = List.of(
                new SoakPlan.Step(500, 9_000, SoakFault.DEREGISTER_TARGET, 1),
                new SoakPlan.Step(550, 9_000, SoakFault.DEREGISTER_TARGET, 2),
                new SoakPlan.Step(1_500, 200, SoakFault.KILL_ALL_ROUTERS, 0));
        SoakRun.Verdict verdict = run(new SoakPlan(steps, false, false), 2 * INSTANCES);
        assertEquals(Map.of(), verdict.violations());
    }

    /** Guards against a stopping router that takes calls again when its backend server leaves, and cuts them. */
    @Example
    void aStopCutsNoRequestWhileTheBackendServerLeaves() throws IOException, InterruptedException {
        List<SoakPlan.Step> steps = List.of(
                new SoakPlan.Step(500, 6_500, SoakFault.STOP_ROUTER, 0),
                new SoakPlan.Step(550, 6_500, SoakFault.STOP_ROUTER, 1),
                new SoakPlan.Step(3_000, 3_500, SoakFault.REPLACE_TARGET, 0),
                new SoakPlan.Step(4_000, 3_500, SoakFault.REPLACE_TARGET, 1));
        SoakRun.Verdict verdict = run(new SoakPlan(steps, true, false), 2 * INSTANCES);
        assertEquals(Map.of(), verdict.violations());
    }

    /** Guards against answers that wait in a stopping router for a longer request of their connection until it ends. */
    @Example
    void finishedAnswersArriveThoughLongerRequestsStandBeforeThem() throws IOException, InterruptedException {
        List<SoakPlan.Step> steps = List.of(
                new SoakPlan.Step(1_000, 6_500, SoakFault.STOP_ROUTER, 0),
                new SoakPlan.Step(1_000, 6_500, SoakFault.STOP_ROUTER, 1),
                new SoakPlan.Step(1_500, 6_500, SoakFault.STOP_ROUTER, 2),
                new SoakPlan.Step(9_500, 6_500, SoakFault.STOP_ROUTER, 0),
                new SoakPlan.Step(9_600, 6_500, SoakFault.STOP_ROUTER, 2),
                new SoakPlan.Step(10_000, 7_500, SoakFault.HANG_UP_ROUTER, 1));
        SoakRun.Verdict verdict = run(new SoakPlan(steps, true, false));
        assertEquals(Map.of(), verdict.violations());
    }

    /** Guards against requests that are cut while their failure domain is evacuated, or reach it afterwards. */
    @Example
    void anEvacuatedFailureDomainGetsNoRequestsAndIsTakenBack() throws IOException, InterruptedException {
        List<SoakPlan.Step> steps = List.of(new SoakPlan.Step(500, 9_000, SoakFault.EVACUATE_DOMAIN, 0));
        SoakRun.Verdict verdict = run(new SoakPlan(steps, true, false), 2 * INSTANCES);
        assertEquals(Map.of(), verdict.violations());
        assertTrue(verdict.served() > verdict.requests() / 2, verdict.toString());
    }

    /** Guards against orders that run twice when connections between routers are reset several times in a row. */
    @Example
    void ordersRunOnceThoughConnectionsBetweenRoutersAreResetInSeries() throws IOException, InterruptedException {
        List<SoakPlan.Step> steps = IntStream.range(0, PEER_RESETS)
                .mapToObj(i -> new SoakPlan.Step(500 + i * PEER_RESET_INTERVAL_MILLIS, 0, SoakFault.RESET_PEERS, 2))
                .toList();
        SoakRun.Verdict verdict = run(new SoakPlan(steps, false, false));
        assertEquals(Map.of(), verdict.violations());
    }

    /** Guards against callers that get the late copy of an earlier run's response as the answer to a later run. */
    @Example
    void answersAreThoseOfTheirRunsThoughServersWriteResponsesOnceMore() throws IOException, InterruptedException {
        List<SoakPlan.Step> steps = List.of(
                new SoakPlan.Step(500, 7_000, SoakFault.STUTTER, 0),
                new SoakPlan.Step(500, 7_000, SoakFault.STUTTER, 1),
                new SoakPlan.Step(500, 7_000, SoakFault.STUTTER, 2),
                new SoakPlan.Step(2_500, 500, SoakFault.RESET_PEERS, 0),
                new SoakPlan.Step(4_000, 800, SoakFault.FREEZE_ROUTER, 1));
        SoakRun.Verdict verdict = run(new SoakPlan(steps, false, false));
        assertEquals(Map.of(), verdict.violations());
    }

    @Example
    void serversThatKeepUsingReleasedKeysAreDetected() throws IOException, InterruptedException {
        List<SoakPlan.Step> steps = List.of(
                new SoakPlan.Step(500, 6_000, SoakFault.REPLACE_TARGET, 0),
                new SoakPlan.Step(7_000, 6_000, SoakFault.REPLACE_TARGET, 1));
        SoakRun.Verdict verdict = run(new SoakPlan(steps, false, true));
        assertTrue(verdict.violations().containsKey("one owner"), verdict.toString());
    }
}
