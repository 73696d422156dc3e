package org.siskindyke.kernel.control;

import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.time.MonotonicClock;

/**
 * What the parts of a router's control state machine share.
 *
 * @param self this member
 * @param settings durations
 * @param clock the clock
 * @param random spreads timers and chooses peers
 * @param table the table service; its stages complete on the control thread
 * @param peers sends control messages
 * @param listener learns of changes
 * @param view what is known of the table
 */
public record ControlContext(
        MemberId self,
        ControlSettings settings,
        MonotonicClock clock,
        RandomGenerator random,
        TableService table,
        PeerMessenger peers,
        ControlListener listener,
        ClusterView view) {
    long nowMillis() {
        return clock.nowMillis();
    }

    /**
     * Runs an action when a stage ends, and reports what the action throws.
     *
     * @param stage the stage
     * @param action receives the value, or the failure
     * @param <T> the type of the value
     */
    <T> void whenComplete(CompletionStage<T> stage, BiConsumer<T, Throwable> action) {
        stage.whenComplete((value, failure) -> {
            try {
                action.accept(value, failure);
            } catch (RuntimeException e) {
                listener.onInternalError(e);
            }
        });
    }
}
