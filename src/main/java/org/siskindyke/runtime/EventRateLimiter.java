package org.siskindyke.runtime;

/** Lets so many events of a kind through in each second and counts the others. Confined to one thread. */
public final class EventRateLimiter {
    private static final long SECOND_MILLIS = 1_000;

    private final int mostPerSecond;
    private long secondStartMillis;
    private int thisSecond;
    private long suppressed;

    /** Creates a limit. */
    public EventRateLimiter(int mostPerSecond) {
        this.mostPerSecond = mostPerSecond;
    }

    /** Tells whether one more event may be written. */
    public boolean tryAcquire(long nowMillis) {
        if (nowMillis - secondStartMillis >= SECOND_MILLIS) {
            secondStartMillis = nowMillis;
            thisSecond = 0;
        }
        thisSecond++;
        suppressed += thisSecond > mostPerSecond ? 1 : 0;
        return thisSecond <= mostPerSecond;
    }

    /** Returns the number of events that were not let through since the last call. */
    public long takeSuppressedCount() {
        long taken = suppressed;
        suppressed = 0;
        return taken;
    }
}
