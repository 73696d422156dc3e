package org.siskindyke.kernel.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ArrivalPaceTest {
    private static final long WINDOW_MILLIS = 4_000;
    private final ArrivalPace pace = new ArrivalPace();

    /** Guards against bursts: no window may hold more calls than the limit allows, and one. */
    @Property(tries = 200, seed = "2027")
    void noWindowHasMoreCallsThanTheLimit(@ForAll @DoubleRange(min = 0.5, max = 200) double limit, @ForAll long seed) {
        Random random = new Random(seed);
        pace.onLimit(limit, 0);
        List<Long> starts = new ArrayList<>();
        long nowMillis = 0;
        while (nowMillis < 20_000) {
            nowMillis += random.nextInt(50) == 0 ? random.nextInt(3_000) : random.nextInt(10);
            pace.onLimit(limit, nowMillis);
            if (pace.allows(0, nowMillis)) {
                pace.onStarted(nowMillis);
                starts.add(nowMillis);
            }
        }
        for (long start : starts) {
            long inWindow = starts.stream()
                    .filter(s -> s >= start && s < start + WINDOW_MILLIS)
                    .count();
            assertTrue(inWindow <= Math.ceil(limit * WINDOW_MILLIS / 1_000) + 1, () -> inWindow + " calls");
        }
    }

    /** Guards against the burst of a router that has just started and does not know the limit. */
    @Example
    void onlyThreeCallsRunBeforeTheFirstAnswer() {
        for (int running = 0; running < 3; running++) {
            assertTrue(pace.allows(running, 0));
            pace.onStarted(0);
        }
        assertFalse(pace.allows(3, 0));
        pace.onNoLimit();
        assertTrue(pace.allows(3, 0));
    }

    /** Guards against a gate that stays nearly closed, since the first calls of a new target hang. */
    @Example
    void hangingFirstCallsDoNotHoldOthersBackForLong() {
        pace.onStarted(0);
        assertFalse(pace.allows(3, 1_500));
        assertTrue(pace.allows(3, 1_501));
    }

    @Example
    void aLimitEndsWithAnAnswerThatNamesNoneAndWithAnotherIncarnation() {
        pace.onLimit(1, 0);
        pace.onStarted(0);
        assertEquals(1_000, pace.delayMillis(0));
        pace.onNoLimit();
        assertEquals(0, pace.delayMillis(0));
        pace.onLimit(1, 0);
        pace.onStarted(0);
        pace.reset();
        assertTrue(pace.allows(0, 0));
    }

    /** Guards against a target that names zero and is never asked again. */
    @Example
    void aLimitOfZeroStillLetsACallThroughEveryTwoSeconds() {
        pace.onLimit(0, 0);
        pace.onStarted(0);
        assertFalse(pace.allows(0, 1_999));
        assertTrue(pace.allows(0, 2_000));
    }

    @Example
    void afterALongSilenceOnlyThreeCallsRunUntilTheTargetAnswers() {
        pace.onLimit(1, 0);
        assertTrue(pace.allows(2, 10_001));
        assertFalse(pace.isLimited());
        pace.onStarted(10_001);
        assertFalse(pace.allows(3, 10_001));
    }
}
