package org.siskindyke.runtime.traffic;

/** Work in progress that can be cancelled. */
@FunctionalInterface
public interface Cancellable {
    /** Does nothing; for work that has ended already. */
    Cancellable NONE = () -> {};

    /** Cancels the work; its outcome is no longer reported. */
    void cancel();

    /** Requests that the work be refused if it has not begun; its outcome is still reported. */
    default void withdraw() {}

    /**
     * Ends the work and reports what is known of its outcome. Work that cannot be ended goes on; work that has ended
     * already is not reported again.
     */
    default void giveUp() {}

    /** Returns whether the work may have begun; if not, it never will once it is cancelled. */
    default boolean mayHaveRun() {
        return true;
    }
}
