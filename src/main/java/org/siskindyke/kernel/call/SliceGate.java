package org.siskindyke.kernel.call;

/**
 * Counts the calls in progress of one slice and holds new ones back while the slice is handed over.
 *
 * <p>A call whose answer was given up still counts until it has surely ended. Safe for use by several threads.
 */
public final class SliceGate {
    private int running;
    private long latestUnfinishedEndMillis = Long.MIN_VALUE;
    private boolean paused;
    private Runnable whenIdle;

    /** Lets a call in unless the slice is held. */
    public synchronized boolean tryEnter() {
        if (paused) {
            return false;
        }
        running++;
        return true;
    }

    /** Ends a call that has surely ended at the backend server. */
    public void leave() {
        Runnable idle;
        synchronized (this) {
            running--;
            idle = takeIdleAction();
        }
        run(idle);
    }

    /**
     * Ends a call that may still run at the backend server.
     *
     * @param latestEndMillis the moment from which it has surely ended
     */
    public void leaveUnfinished(long latestEndMillis) {
        synchronized (this) {
            latestUnfinishedEndMillis = Math.max(latestUnfinishedEndMillis, latestEndMillis);
        }
        leave();
    }

    /**
     * Holds new calls back.
     *
     * @param action runs once no call is in progress, possibly at once
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

    /** Lets calls in again. */
    public synchronized void resume() {
        paused = false;
        whenIdle = null;
    }

    /** Returns the moment from which all abandoned calls have surely ended. */
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
