package org.siskindyke.standin;

/**
 * Faults and traits that the backend stand-in shows.
 *
 * @param workMillis how long a call runs
 * @param refuse whether it sheds all calls
 * @param cutAnswers whether it closes connections in the middle of answers
 * @param wrongCallIds whether it answers with another call's id
 * @param crashOnMark whether a request whose path contains {@code crash-mark} ends the process
 */
public record BackendFaults(
        long workMillis, boolean refuse, boolean cutAnswers, boolean wrongCallIds, boolean crashOnMark) {
    /** A fast backend server without faults. */
    public static final BackendFaults NONE = new BackendFaults(0, false, false, false, false);

    /** Returns the traits with another duration of calls. */
    public BackendFaults withWorkMillis(long millis) {
        return new BackendFaults(millis, refuse, cutAnswers, wrongCallIds, crashOnMark);
    }
}
