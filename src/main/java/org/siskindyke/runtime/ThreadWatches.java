package org.siskindyke.runtime;

import org.siskindyke.kernel.time.MonotonicClock;

/** Lets the two threads of a router, the control thread and the traffic loop, watch each other. */
final class ThreadWatches {
    private final StallWatch traffic;
    private final StallWatch control;

    /**
     * Creates the watches.
     *
     * @param clock the clock
     * @param intervalMillis longest interval at which {@link #onTrafficTick} and {@link #onControlTick} are called
     * @param log receives an event for each stall
     */
    ThreadWatches(MonotonicClock clock, long intervalMillis, EventSink log) {
        this.traffic = new StallWatch("traffic", clock, intervalMillis, log);
        this.control = new StallWatch("control", clock, intervalMillis, log);
    }

    /** Called at a fixed interval on the traffic loop. */
    void onTrafficTick() {
        traffic.onAlive();
        control.check();
    }

    /** Called at a fixed interval on the control thread. */
    void onControlTick() {
        control.onAlive();
        traffic.check();
    }

    /** Returns how often the traffic loop has stalled since the start. Safe for any thread. */
    long trafficStalls() {
        return traffic.stalls();
    }

    /** Returns how often the control thread has stalled since the start. Safe for any thread. */
    long controlStalls() {
        return control.stalls();
    }
}
