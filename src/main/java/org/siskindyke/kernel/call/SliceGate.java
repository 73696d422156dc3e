package org.siskindyke.kernel.call;

/**
 * Counts the calls in progress of one slice and rejects new ones while the slice is handed over. Thread-safe.
 *
 * <p>A call that ended without a response may still run at the backend server; the gate records when such calls must
 * have ended, see {@link #latestUnfinishedEndMillis}.
 */
public final class SliceGate {
    private int running;
    private long latestUnfinishedEndMillis = Long.MIN_VALUE;
    private boolean paused;
    private Runnable whenIdle;

    /** Counts a new call; returns false, without counting it, while the gate is paused. */
    public synchronized boolean tryEnter() {
        if (paused) {
            return false;
        }
        running++;
        return true;
    }

    /** Removes a call that no longer runs at the backend server from the count. */
    public void leave() {
        Runnable idle;
        synchronized (this) {
            running--;
            idle = takeIdleAction();
        }
        run(idle);
    }

    /**
     * Removes a call that may still run at the backend server from the count.
     *
     * @param latestEndMillis time on the monotonic clock by which the call must have ended
     */
    public void leaveUnfinished(long latestEndMillis) {
        synchronized (this) {
            latestUnfinishedEndMillis = Math.max(latestUnfinishedEndMillis, latestEndMillis);
        }
        leave();
    }

    /**
     * Rejects new calls until {@link #resume}. Replaces an action that was passed earlier and has not run.
     *
     * @param action runs once, when no call is in progress any more: in this method, or on the thread on which the last
     *     call leaves
     */
    public void pause(Runnable action) {
        Runnable idle;
        synchronized (this) {
            paused = true;
            whenIdle = action;
            idle = takeIdleAction();
        }
        run(idle);
    }

    /** Admits new calls again and drops an action of {@link #pause} that has not run. */
    public synchronized void resume() {
        paused = false;
        whenIdle = null;
    }

    /**
     * Returns the time by which all calls of {@link #leaveUnfinished} must have ended.
     *
     * @return milliseconds of the monotonic clock; {@link Long#MIN_VALUE} if there were no such calls
     */
    public synchronized long latestUnfinishedEndMillis() {
        return latestUnfinishedEndMillis;
    }

    private Runnable takeIdleAction() {
        if (!paused || running > 0) {
            return null;
        }
        Runnable idle = whenIdle;
        whenIdle = null;
        return idle;
    }

    private static void run(Runnable action) {
        if (action != null) {
            action.run();
        }
    }
}
