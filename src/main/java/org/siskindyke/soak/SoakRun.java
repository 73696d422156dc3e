package org.siskindyke.soak;

import java.io.File;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.siskindyke.runtime.http.Json;
import org.siskindyke.soak.SoakEvent.What;

/**
 * One soak: starts the processes, applies the faults of the plan, waits until the cluster serves all requests again,
 * and checks the invariants.
 */
public final class SoakRun {
    static final String STORE = "store";
    static final String NOT_SERVED = "not served";
    static final String UNEXPECTED_EXIT = "ended by itself";

    private static final long START_TIMEOUT_MILLIS = 60_000;
    /** Time in which the cluster must serve all requests again after the last fault. */
    private static final long RECOVERY_TIMEOUT_MILLIS = 15_000;
    /** The cluster serves if, within this time, each router has answered requests and none has failed. */
    private static final long SERVING_WINDOW_MILLIS = 1_500;

    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final int OK = 200;

    private final SoakTopology topology;
    private final SoakPlan plan;
    private final File directory;
    private final SoakJournal journal = new SoakJournal();
    private final Set<SoakPlan.Step> activeSteps = new HashSet<>();

    /** An action to run at a time, counted from the start of the faults. */
    private record Action(long atMillis, Runnable work) {}

    /**
     * The result of a soak.
     *
     * @param requests number of requests that were answered or failed
     * @param served number of requests with a correct answer
     * @param faults number of faults in the plan
     * @param violations descriptions of the violations by name of the invariant; empty if all invariants held
     */
    public record Verdict(long requests, long served, int faults, Map<String, List<String>> violations) {}

    /**
     * Prepares a soak.
     *
     * @param topology the instances
     * @param plan the faults to apply
     * @param directory receives logs, settings files and {@code events.jsonl}
     */
    public SoakRun(SoakTopology topology, SoakPlan plan, File directory) {
        this.topology = topology;
        this.plan = plan;
        this.directory = directory;
    }

    /**
     * Runs the soak and checks the invariants; the processes are killed at the end.
     *
     * @return the result
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public Verdict run() throws InterruptedException {
        try (SoakCluster cluster = new SoakCluster(topology, plan, directory, journal)) {
            if (!awaitServing(START_TIMEOUT_MILLIS)) {
                journal.add(What.FAULT, NOT_SERVED, "never served");
                return checkInvariants();
            }
            runSteps(cluster);
            if (!awaitServing(RECOVERY_TIMEOUT_MILLIS)) {
                journal.add(
                        What.FAULT, NOT_SERVED, "not served " + RECOVERY_TIMEOUT_MILLIS + " ms after the last fault");
            }
        }
        return checkInvariants();
    }

    /** Runs the steps. One that begins late, as another has taken long, lasts as long as planned. */
    private void runSteps(SoakCluster cluster) throws InterruptedException {
        Queue<Action> actions = new PriorityQueue<>(Comparator.comparingLong(Action::atMillis));
        long startMillis = SoakJournal.nowMillis();
        for (SoakPlan.Step step : plan.steps()) {
            actions.add(new Action(step.atMillis(), () -> {
                long beginMillis = SoakJournal.nowMillis() - startMillis;
                begin(cluster, step);
                actions.add(new Action(beginMillis + step.durationMillis(), () -> end(cluster, step)));
            }));
        }
        while (!actions.isEmpty()) {
            Action next = actions.remove();
            long remainingMillis = startMillis + next.atMillis() - SoakJournal.nowMillis();
            TimeUnit.MILLISECONDS.sleep(Math.max(0, remainingMillis));
            next.work().run();
        }
    }

    private void begin(SoakCluster cluster, SoakPlan.Step step) {
        if (activeSteps.stream().anyMatch(other -> conflicts(other, step))) {
            return;
        }
        activeSteps.add(step);
        addEvent(What.FAULT, step);
        step.fault().begin(cluster, step.instanceIndex());
    }

    private void end(SoakCluster cluster, SoakPlan.Step step) {
        if (!activeSteps.remove(step)) {
            return;
        }
        step.fault().end(cluster, step.instanceIndex());
        addEvent(What.MENDED, step);
    }

    private static boolean conflicts(SoakPlan.Step first, SoakPlan.Step other) {
        SoakFault.Component component = first.fault().component();
        SoakFault.Component otherComponent = other.fault().component();
        boolean shared = component.isShared() || otherComponent.isShared();
        return component.conflictsWith(otherComponent) && (shared || first.instanceIndex() == other.instanceIndex());
    }

    private void addEvent(What what, SoakPlan.Step step) {
        String who = step.fault().affectsStore()
                ? STORE
                : topology.instances().get(step.instanceIndex()).callerAddress();
        journal.add(what, who, step.fault().name());
    }

    /** Waits until the cluster serves; returns false if it does not do so within the limit. */
    private boolean awaitServing(long limitMillis) throws InterruptedException {
        long endMillis = SoakJournal.nowMillis() + limitMillis;
        while (SoakJournal.nowMillis() < endMillis) {
            if (isServing(SoakJournal.nowMillis() - SERVING_WINDOW_MILLIS)) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        return false;
    }

    private boolean isServing(long sinceMillis) {
        Map<String, Integer> served = new TreeMap<>();
        for (SoakEvent event : journal.events()) {
            if (event.what() != What.ANSWERED || event.atMillis() < sinceMillis) {
                continue;
            }
            if (event.status() != OK) {
                return false;
            }
            served.merge(event.who(), 1, Integer::sum);
        }
        return served.size() == topology.instances().size();
    }

    private Verdict checkInvariants() {
        List<SoakEvent> events = journal.events();
        SoakLog eventLog = new SoakLog(new File(directory, "events.jsonl"));
        eventLog.append(events.stream().map(Json::write).collect(Collectors.joining(System.lineSeparator())));
        Map<String, List<String>> violations = new TreeMap<>();
        for (SoakInvariant invariant : SoakInvariants.all()) {
            List<String> found = invariant.violations(events, plan);
            if (!found.isEmpty()) {
                violations.put(invariant.name(), found);
            }
        }
        long requests = events.stream().filter(e -> e.what() == What.ANSWERED).count();
        long served = events.stream()
                .filter(e -> e.what() == What.ANSWERED && e.status() == OK && e.detail() == null)
                .count();
        return new Verdict(requests, served, plan.steps().size(), violations);
    }
}
