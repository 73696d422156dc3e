package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RepeatedActionsTest {
    private final RepeatedActions actions = new RepeatedActions(50);
    private final List<Throwable> failures = new ArrayList<>();
    private final List<String> runs = new ArrayList<>();

    private void tick(int times) {
        for (int i = 0; i < times; i++) {
            actions.onTick(failures::add);
        }
    }

    /** Guards against an action that runs more rarely than its interval, since other actions share its timer. */
    @Example
    void eachActionRunsAtItsOwnInterval() {
        actions.add(() -> runs.add("50"), 50);
        actions.add(() -> runs.add("120"), 120);
        tick(6);
        assertEquals(List.of("50", "50", "50", "120", "50", "50", "50", "120"), runs);
    }

    /** Guards against one failing action that ends the time-outs and checks of all others. */
    @Example
    void aFailingActionEndsAndTheOthersGoOn() {
        RuntimeException failure = new IllegalStateException("test");
        actions.add(
                () -> {
                    throw failure;
                },
                50);
        actions.add(() -> runs.add("run"), 50);
        tick(2);
        assertEquals(List.of(failure), failures);
        assertEquals(List.of("run", "run"), runs);
    }

    /** Guards against a lost or failing iteration where an action, such as a listener's, adds another one. */
    @Example
    void anActionAddedByAnActionRunsFromTheNextTickOn() {
        actions.add(() -> actions.add(() -> runs.add("added"), 50), 100);
        tick(3);
        assertEquals(List.of("added"), runs);
    }
}
