package org.siskindyke.runtime.traffic;

/**
 * What a response says about the requests that its backend server accepts.
 *
 * @param state whether the response names a limit
 * @param callsPerSecond the limit on calls from all callers together; 0 unless named
 */
public record AnnouncedLimit(State state, double callsPerSecond) {
    /** The response names no limit. */
    public static final AnnouncedLimit NONE = new AnnouncedLimit(State.NONE, 0);

    /** The response names a limit that is not a decimal number of at least 0. */
    public static final AnnouncedLimit MALFORMED = new AnnouncedLimit(State.MALFORMED, 0);

    /** Whether a response names a limit. */
    public enum State {
        NONE,
        MALFORMED,
        NAMED
    }

    /** Returns the announcement of a limit, {@link #MALFORMED} where it is negative, infinite or not a number. */
    public static AnnouncedLimit of(double callsPerSecond) {
        return callsPerSecond >= 0 && Double.isFinite(callsPerSecond)
                ? new AnnouncedLimit(State.NAMED, callsPerSecond)
                : MALFORMED;
    }

    /** Returns the stricter of two announcements in one response; a malformed one counts only by itself. */
    public AnnouncedLimit stricter(AnnouncedLimit other) {
        if (state != State.NAMED || other.state != State.NAMED) {
            return state == State.NAMED || other.state == State.NONE ? this : other;
        }
        return callsPerSecond <= other.callsPerSecond ? this : other;
    }
}
