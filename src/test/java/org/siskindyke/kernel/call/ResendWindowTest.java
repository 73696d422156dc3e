package org.siskindyke.kernel.call;

import java.util.UUID;

import net.jqwik.api.Example;
import org.siskindyke.kernel.call.IdempotencyCache.Lookup.Kind;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ResendWindowTest {
    private static final SliceRef SLICE = new SliceRef(ServiceName.of("bayna"), 3);

    private final IdempotencyCache<String> window = new IdempotencyCache<>();

    @Example
    void aResendOfARunningCallIsTold() {
        assertEquals(Kind.FIRST, window.begin(SLICE, "k", 0).kind());
        assertEquals(Kind.RUNNING, window.begin(SLICE, "k", 1).kind());
    }

    @Example
    void aResendOfAnAnsweredCallGetsTheAnswer() {
        window.begin(SLICE, "k", 0);
        window.complete(SLICE, "k", "ordered");
        assertEquals(new IdempotencyCache.Lookup<>(Kind.ANSWERED, "ordered"), window.begin(SLICE, "k", 1));
    }

    @Example
    void aResendOfACallWithoutAClearOutcomeNeverRuns() {
        window.begin(SLICE, "k", 0);
        window.complete(SLICE, "k", null);
        assertEquals(Kind.UNKNOWN, window.begin(SLICE, "k", 1).kind());
    }

    @Example
    void aCallThatDidNotRunMayRunLater() {
        window.begin(SLICE, "k", 0);
        window.forget(SLICE, "k");
        assertEquals(Kind.FIRST, window.begin(SLICE, "k", 1).kind());
    }

    @Example
    void keysAreForgottenAfterTheWindow() {
        window.begin(SLICE, "old", 0);
        window.begin(SLICE, "new", 100);
        window.expire(50);
        assertEquals(1, window.size());
        assertEquals(Kind.RUNNING, window.begin(SLICE, "new", 101).kind());
    }

    @Example
    void theTimeOfAVersionSevenUuidIsRead() {
        UUID key = new UUID(1_700_000_000_123L << 16 | 0x7abc, 0x8000_0000_0000_0001L);
        assertEquals(
                1_700_000_000_123L,
                IdempotencyKeyTimestamp.epochMillis(key.toString()).orElseThrow());
        assertTrue(IdempotencyKeyTimestamp.epochMillis("order-17").isEmpty());
        assertTrue(IdempotencyKeyTimestamp.epochMillis("00000000-0000-4000-8000-000000000000")
                .isEmpty());
    }
}
