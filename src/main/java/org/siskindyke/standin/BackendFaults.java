package org.siskindyke.standin;

/**
 * Faults and properties of the backend stand-in.
 *
 * @param workMillis how long a call runs, in milliseconds
 * @param refuse whether it refuses all calls without running them
 * @param cutAnswers whether it runs each call, then closes the connection instead of answering
 * @param wrongCallIds whether it answers with an id that differs from the call's
 * @param crashOnMark whether a request whose path or query contains {@code crash-mark} ends the process
 */
public record BackendFaults(
        long workMillis, boolean refuse, boolean cutAnswers, boolean wrongCallIds, boolean crashOnMark) {
    /** A fast backend server without faults. */
    public static final BackendFaults NONE = new BackendFaults(0, false, false, false, false);

    /** Returns the same faults with another duration of calls. */
    public BackendFaults withWorkMillis(long millis) {
        return new BackendFaults(millis, refuse, cutAnswers, wrongCallIds, crashOnMark);
    }
}
