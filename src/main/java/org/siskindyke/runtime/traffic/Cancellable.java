package org.siskindyke.runtime.traffic;

/** Work that can be given up. */
@FunctionalInterface
public interface Cancellable {
    /** Cannot be given up any more. */
    Cancellable NONE = () -> {};

    /** Gives the work up; its outcome is not reported any more. */
    void cancel();

    /** Asks for a refusal if the work has not begun; its outcome is still reported. */
    default void withdraw() {}
}
