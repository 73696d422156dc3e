package org.siskindyke.runtime;

import java.util.Arrays;
import java.util.stream.Collectors;

import org.siskindyke.kernel.time.MonotonicClock;

/**
 * Notices, from another thread, that a thread stays in one task, and logs what it is doing. The process is not ended
 * for it: from inside, a thread that hangs cannot be told from one that is slow.
 *
 * <p>Time counts only as far as the watching thread has run, too, since a machine that is frozen or short of processor
 * time stops both.
 */
final class StallWatch {
    /** Time without a sign of life after which the stack is logged; doubled for each further line. */
    static final long MIN_STALL_MILLIS = 1_000;

    /** The frames at the top of the stack, from the code that runs to the event that it handles. */
    private static final int MAX_FRAMES = 24;

    private final String name;
    private final MonotonicClock clock;
    private final long intervalMillis;
    private final EventSink log;
    private volatile Thread thread;
    private volatile long signs;
    private volatile long stalls;
    private long seenSigns;
    private long checkedMillis;
    private long stalledMillis;
    private long reportAtMillis = MIN_STALL_MILLIS;

    /**
     * Creates a watch of one thread.
     *
     * @param name the name of the thread, for the log
     * @param clock the clock
     * @param intervalMillis interval at which {@link #onAlive} and {@link #check} are called
     * @param log receives an event for each stall
     */
    StallWatch(String name, MonotonicClock clock, long intervalMillis, EventSink log) {
        this.name = name;
        this.clock = clock;
        this.intervalMillis = intervalMillis;
        this.log = log;
        this.checkedMillis = clock.nowMillis();
    }

    /** Gives a sign of life. Called at a fixed interval on the thread that is watched. */
    void onAlive() {
        thread = Thread.currentThread();
        signs = signs + 1;
    }

    /** Looks for a sign of life since the last call. Called at a fixed interval on another thread, always the same. */
    void check() {
        long nowMillis = clock.nowMillis();
        long ranMillis = Math.min(nowMillis - checkedMillis, 2 * intervalMillis);
        checkedMillis = nowMillis;
        long presentSigns = signs;
        if (presentSigns != seenSigns || thread == null) {
            seenSigns = presentSigns;
            stalledMillis = 0;
            reportAtMillis = MIN_STALL_MILLIS;
            return;
        }
        stalledMillis += ranMillis;
        if (stalledMillis >= reportAtMillis) {
            report();
        }
    }

    private void report() {
        if (reportAtMillis == MIN_STALL_MILLIS) {
            stalls = stalls + 1;
        }
        reportAtMillis *= 2;
        log.event("thread-stalled", "thread", name, "millis", stalledMillis, "stack", stack());
    }

    private String stack() {
        return Arrays.stream(thread.getStackTrace())
                .limit(MAX_FRAMES)
                .map(frame -> frame.getClassName() + "." + frame.getMethodName() + ":" + frame.getLineNumber())
                .collect(Collectors.joining(" < "));
    }

    /** Returns how often the thread has stalled since the start. Safe for any thread. */
    long stalls() {
        return stalls;
    }
}
