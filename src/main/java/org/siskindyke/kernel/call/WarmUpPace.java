package org.siskindyke.kernel.call;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Spaces the calls to a target that has just started and is slow until it is warm. The platform bounds the calls that
 * such a target gets in any one second. Calls start at an even rate with a small burst; a count of the recent starts
 * keeps them within the bound even if the warm-up begins in the middle of a burst. Confined to one thread; all times
 * are on the monotonic clock.
 */
public final class WarmUpPace {
    /** Calls that may start at once after a pause; far below the slack, since calls may arrive close together. */
    private static final double MAX_BURST = 2;
    /** Part of the slack that the burst may use. */
    private static final double BURST_SHARE_OF_SLACK = 0.25;
    /** Time that calls may be late on their way to the target, so that more arrive in a second than have started. */
    private static final long ARRIVAL_MARGIN_MILLIS = 250;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long WINDOW_MILLIS = 1_000 + ARRIVAL_MARGIN_MILLIS;

    private final Deque<Long> startsMillis = new ArrayDeque<>();
    private Limit limit = Limit.NONE;
    private long coldUntilMillis = Long.MIN_VALUE;
    /** When the next call would start at an even rate. */
    private double dueMillis = Double.NEGATIVE_INFINITY;

    private boolean cold;

    /**
     * What a cold target takes.
     *
     * @param callsPerSecond rate of calls; 0 where it is not limited
     * @param slack calls in one second beyond those of the rate
     */
    public record Limit(double callsPerSecond, double slack) {
        /** A cold target takes as many calls as a warm one. */
        public static final Limit NONE = new Limit(0, 0);

        private boolean applies() {
            return callsPerSecond > 0;
        }

        private double burst() {
            return Math.max(1, Math.min(MAX_BURST, slack * BURST_SHARE_OF_SLACK));
        }

        private int maxPerWindow() {
            return (int) Math.max(1, Math.floor(callsPerSecond + slack));
        }

        private double intervalMillis() {
            return MILLIS_PER_SECOND / callsPerSecond;
        }
    }

    /** Sets what the target takes while it is cold, and until when it is. */
    public void set(Limit newLimit, long untilMillis, long nowMillis) {
        limit = newLimit;
        coldUntilMillis = untilMillis;
        update(nowMillis);
    }

    /** Ends the warm-up once its time has passed. */
    public void update(long nowMillis) {
        cold = limit.applies() && nowMillis < coldUntilMillis;
    }

    /** Returns whether the target was cold at the last update, so that its calls are spaced. */
    public boolean isCold() {
        return cold;
    }

    /** Returns the time between two calls in milliseconds; 0 while the target is not cold. */
    public double intervalMillis() {
        return cold ? limit.intervalMillis() : 0;
    }

    /** Returns how long the next call has to wait, in milliseconds; 0 if it may start now. */
    public double delayMillis(long nowMillis) {
        update(nowMillis);
        if (!cold) {
            return 0;
        }
        double evenDelayMillis = dueMillis - (limit.burst() - 1) * limit.intervalMillis() - nowMillis;
        return Math.max(0, Math.max(evenDelayMillis, windowDelayMillis(nowMillis)));
    }

    /** Returns when the starts of the last window leave room for another, in milliseconds from now. */
    private long windowDelayMillis(long nowMillis) {
        forgetOldStarts(nowMillis);
        int excess = startsMillis.size() - limit.maxPerWindow();
        if (excess < 0) {
            return 0;
        }
        Iterator<Long> starts = startsMillis.iterator();
        for (int i = 0; i < excess; i++) {
            starts.next();
        }
        return starts.next() + WINDOW_MILLIS - nowMillis;
    }

    private void forgetOldStarts(long nowMillis) {
        while (!startsMillis.isEmpty() && startsMillis.peekFirst() + WINDOW_MILLIS <= nowMillis) {
            startsMillis.removeFirst();
        }
    }

    /** Records that a call starts; also while the target is warm, since it may be cold within the same second. */
    public void onStarted(long nowMillis) {
        if (!limit.applies()) {
            return;
        }
        update(nowMillis);
        forgetOldStarts(nowMillis);
        startsMillis.addLast(nowMillis);
        if (cold) {
            dueMillis = Math.max(dueMillis, nowMillis) + limit.intervalMillis();
        }
    }

    /** Records that the target has not counted a call that started at a time. */
    public void onNotCounted(long startedMillis) {
        if (startsMillis.removeLastOccurrence(startedMillis) && cold) {
            dueMillis -= limit.intervalMillis();
        }
    }
}
