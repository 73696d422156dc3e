package org.siskindyke.kernel.call;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Sends calls without a pause to a target that is cold, with the figures of a deployment that does not bear it. */
class WarmUpPaceTest {
    private static final double RATE = 4.41 * 1.5;
    private static final double SLACK = 8;
    private static final double BOUND = RATE + SLACK;
    private static final long RUN_MILLIS = 20_000;
    private static final WarmUpPace.Limit LIMIT = new WarmUpPace.Limit(RATE, SLACK);

    private final WarmUpPace pace = new WarmUpPace();

    private List<Long> starts(long fromMillis, long toMillis) {
        List<Long> starts = new ArrayList<>();
        for (long now = fromMillis; now < toMillis; now++) {
            while (pace.delayMillis(now) == 0 && starts.size() < toMillis) {
                pace.onStarted(now);
                starts.add(now);
                if (!pace.isCold()) {
                    break;
                }
            }
        }
        return starts;
    }

    private static int mostWithinASecond(List<Long> timesMillis) {
        List<Long> sorted = timesMillis.stream().sorted().toList();
        int most = 0;
        for (int first = 0, last = 0; last < sorted.size(); last++) {
            while (sorted.get(last) - sorted.get(first) >= 1_000) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** Guards against a cold target that gets more calls in a second than it bears, as some arrive late. */
    @Property(tries = 50)
    void callsThatAreUpToAQuarterOfASecondLateStayWithinTheBound(@ForAll long seed) {
        Random random = new Random(seed);
        pace.set(LIMIT, RUN_MILLIS, 0);
        List<Long> arrivals = starts(0, RUN_MILLIS).stream()
                .map(start -> start + random.nextInt(250))
                .toList();
        assertTrue(mostWithinASecond(arrivals) < BOUND, () -> "in one second: " + mostWithinASecond(arrivals));
    }

    /** Guards against a pace so careful that a cold target is used far below what it takes. */
    @Example
    void theAverageIsWhatTheTargetTakes() {
        pace.set(LIMIT, RUN_MILLIS, 0);
        double perSecond = starts(0, RUN_MILLIS).size() * 1_000.0 / RUN_MILLIS;
        assertEquals(RATE, perSecond, 0.05 * RATE);
    }

    /** Guards against a burst just before the target reports that it is cold, which counts in the same second. */
    @Example
    void callsBeforeAWarmUpInTheMiddleOfARunCount() {
        pace.set(LIMIT, 0, 0);
        for (int i = 0; i < 12; i++) {
            pace.onStarted(i);
        }
        pace.set(LIMIT, RUN_MILLIS, 20);
        List<Long> all = new ArrayList<>(starts(20, 3_000));
        for (long i = 0; i < 12; i++) {
            all.add(i);
        }
        assertTrue(mostWithinASecond(all) < BOUND, () -> "in one second: " + mostWithinASecond(all));
    }

    /** Guards against a tolerance of nothing, as settings without one have, that lets a call too many through. */
    @Example
    void withoutSlackNoSecondHasMoreThanTheRate() {
        pace.set(new WarmUpPace.Limit(4.41, 0), RUN_MILLIS, 0);
        assertEquals(4, mostWithinASecond(starts(0, RUN_MILLIS)));
    }

    /** Guards against pacing that outlasts the warm-up, and against pacing where no rate is configured. */
    @Example
    void onlyAColdTargetWithARateIsLimited() {
        pace.set(LIMIT, 1_000, 0);
        pace.onStarted(0);
        pace.onStarted(0);
        assertTrue(pace.delayMillis(0) > 0);
        assertEquals(0, pace.delayMillis(1_000));
        pace.set(WarmUpPace.Limit.NONE, RUN_MILLIS, 0);
        assertEquals(0, pace.delayMillis(0));
        assertEquals(0, pace.intervalMillis());
    }

    /** Guards against calls that the target has not counted and that use up its rate. */
    @Example
    void callsThatDoNotCountLeaveRoom() {
        pace.set(LIMIT, RUN_MILLIS, 0);
        pace.onStarted(0);
        pace.onStarted(0);
        pace.onNotCounted(0);
        assertEquals(0, pace.delayMillis(0));
    }

    /** Guards against a named limit that hides the limit of a cold target, or the other way round. */
    @Example
    void theStricterOfANamedLimitAndTheWarmUpApplies() {
        ArrivalPace both = new ArrivalPace();
        both.warmUp().set(LIMIT, RUN_MILLIS, 0);
        both.onLimit(2, 0);
        assertEquals(500, both.intervalMillis());
        both.onStarted(0);
        assertEquals(500, both.delayMillis(0));
        both.onLimit(100, 0);
        assertEquals(1_000 / RATE, both.intervalMillis(), 0.01);
        both.onStarted(0);
        both.onStarted(0);
        assertTrue(both.delayMillis(0) > 100);
    }
}
