package org.siskindyke.kernel.call;

import java.util.Optional;

import net.jqwik.api.Example;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ExpectedReturnsTest {
    private final ExpectedReturns returns = new ExpectedReturns(2);

    /** Guards against an objective that starts anew with each attempt of a caller. */
    @Example
    void aRequestThatReturnsKeepsTheTimeOfItsFirstAttempt() {
        returns.onRefused("r1", 1_000, 300, 1_010);
        assertEquals(Optional.of(new ExpectedReturns.Return(1_000, true)), returns.onArrival("r1", 1_326));
        assertEquals(Optional.empty(), returns.onArrival("r1", 1_330));
    }

    /** Guards against callers that gain by not waiting. */
    @Example
    void aRequestThatReturnsTooEarlyIsNotPunctual() {
        returns.onRefused("r1", 1_000, 300, 1_010);
        assertEquals(Optional.of(new ExpectedReturns.Return(1_000, false)), returns.onArrival("r1", 1_100));
    }

    /** Guards against memory that grows with the refusals of an overload. */
    @Example
    void theEarliestRefusedRequestIsForgottenBeyondTheMaximum() {
        returns.onRefused("r1", 0, 100, 0);
        returns.onRefused("r2", 0, 100, 0);
        returns.onRefused("r3", 0, 100, 0);
        assertEquals(Optional.empty(), returns.onArrival("r1", 100));
        assertEquals(Optional.of(new ExpectedReturns.Return(0, true)), returns.onArrival("r3", 100));
    }
}
