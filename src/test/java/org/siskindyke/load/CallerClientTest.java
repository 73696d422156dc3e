package org.siskindyke.load;

import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.runtime.http.Json;
import org.siskindyke.standin.BackendStandin;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CallerClientTest {
    /** Returns whether the answer to a call that the router names c2 is right where a backend server names another. */
    private static boolean isRight(String answeredCallId, String idempotencyKey, int attempt) {
        CallSender.OutgoingCall call = new CallSender.OutgoingCall(
                "plain", "k1", "GET", idempotencyKey, attempt, List.of(), new byte[0], false);
        BackendStandin.Answer answer = new BackendStandin.Answer("t1", answeredCallId, call.path(), "k1", 0);
        return CallerClient.isCorrect(call, "c2", Json.write(answer));
    }

    /** Guards against a check that passes the response to an earlier call of the same key. */
    @Example
    void theAnswerOfAnotherCallOfTheSameKeyIsWrong() {
        assertTrue(isRight("c2", null, 1));
        assertFalse(isRight("c1", null, 1));
        assertFalse(isRight("c1", "order", 1));
    }

    @Example
    void aRepeatedOrderMayGetTheAnswerOfAnEarlierAttempt() {
        assertTrue(isRight("c1", "order", 2));
    }
}
