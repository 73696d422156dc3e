package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Actions that run repeatedly, driven by one timer. Intervals are counted in ticks of the timer; the first run comes up
 * to one tick before the interval has passed. Not thread-safe.
 */
final class RepeatedActions {
    private final long tickMillis;
    private final List<RepeatedAction> actions = new ArrayList<>();

    /**
     * Creates an empty set.
     *
     * @param tickMillis time between two calls of {@link #onTick}, in milliseconds
     */
    RepeatedActions(long tickMillis) {
        this.tickMillis = tickMillis;
    }

    private static final class RepeatedAction {
        private final Runnable action;
        private final long intervalTicks;
        private long ticksLeft;

        private RepeatedAction(Runnable action, long intervalTicks) {
            this.action = action;
            this.intervalTicks = intervalTicks;
            this.ticksLeft = intervalTicks;
        }

        private boolean isDue() {
            ticksLeft--;
            return ticksLeft <= 0;
        }

        private void run() {
            ticksLeft = intervalTicks;
            action.run();
        }
    }

    /** Adds an action; the interval is rounded up to whole ticks, at least one. */
    void add(Runnable action, long intervalMillis) {
        long ticks = (intervalMillis + tickMillis - 1) / tickMillis;
        actions.add(new RepeatedAction(action, Math.max(1, ticks)));
    }

    /**
     * Runs the actions that are due.
     *
     * @param onFailure receives the exception of an action, which does not run again; the others are not affected
     */
    void onTick(Consumer<Throwable> onFailure) {
        for (RepeatedAction repeated : List.copyOf(actions)) {
            if (repeated.isDue()) {
                try {
                    repeated.run();
                } catch (RuntimeException | Error e) {
                    actions.remove(repeated);
                    onFailure.accept(e);
                }
            }
        }
    }
}
