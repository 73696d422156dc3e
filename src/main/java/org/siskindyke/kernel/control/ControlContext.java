package org.siskindyke.kernel.control;

import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.table.TableEra;
import org.siskindyke.kernel.table.TableService;
import org.siskindyke.kernel.time.MonotonicClock;

/**
 * Settings and collaborators that the parts of a member's control state machine share.
 *
 * @param self this member
 * @param settings intervals, time limits and the lease protocol
 * @param clock the only clock that the state machine reads
 * @param random adds jitter to timers and chooses peers
 * @param table the table service; its stages complete on the control thread
 * @param peers sends control messages
 * @param listener receives this member's state changes
 * @param view this member's copy of the table
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

    /** Returns the latest {@link org.siskindyke.kernel.table.TableEra} known from the table or from other members. */
    long era() {
        view.noticeEra(table.era());
        return view.era();
    }

    /**
     * Returns whether this member has read what is left of the table since the present era began, or has heard of it
     * from one that has. The copy may contain changes that this member missed in the era before.
     */
    boolean hasReadPresentEra() {
        return TableEra.of(view.replica().version()) == era();
    }

    /**
     * Runs an action when a stage completes, and reports an exception that the action throws to the listener.
     *
     * @param stage the stage
     * @param action receives the value and null, or null and the failure
     * @param <T> the type of the value
     */
    <T> void whenComplete(CompletionStage<T> stage, BiConsumer<T, Throwable> action) {
        stage.whenComplete((value, failure) -> {
            view.noticeEra(table.era());
            try {
                action.accept(value, failure);
            } catch (RuntimeException e) {
                listener.onInternalError(e);
            }
        });
    }
}
