package org.siskindyke.kernel.call;

import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.kernel.id.MemberId;

import static org.junit.jupiter.api.Assertions.assertEquals;

class FullTargetsTest {
    private static final MemberId ONE = MemberId.of("a:1");
    private static final MemberId OTHER = MemberId.of("b:1");

    private final FullTargets full = new FullTargets();

    /** Guards against a refusal while a target that has not been asked may have capacity. */
    @Example
    void aKindIsRefusedOnlyWhileAllTargetsAreKnownToBeFullForIt() {
        full.onFull("booking", ONE, 150, 1_000);
        assertEquals(0, full.fullForMillis("booking", () -> List.of(ONE, OTHER), 1_010));
        full.onFull("booking", OTHER, 5_000, 1_020);
        assertEquals(120, full.fullForMillis("booking", () -> List.of(ONE, OTHER), 1_030));
        assertEquals(0, full.fullForMillis("alert", () -> List.of(ONE, OTHER), 1_030));
        assertEquals(0, full.fullForMillis("booking", () -> List.of(ONE, OTHER), 1_150));
    }

    /** Guards against refusals that go on after a target has had capacity again. */
    @Example
    void aTargetThatRunsACallIsNotFull() {
        full.onFull("booking", ONE, 200, 1_000);
        full.onRun("booking", ONE);
        assertEquals(0, full.fullForMillis("booking", () -> List.of(ONE), 1_010));
    }
}
