package org.siskindyke.runtime.traffic;

import java.util.function.BiFunction;

import org.siskindyke.kernel.call.AdmissionPolicy;
import org.siskindyke.kernel.call.AdmissionQueue;
import org.siskindyke.kernel.call.ArrivalPace;
import org.siskindyke.kernel.call.ServiceTimeEstimator;
import org.siskindyke.kernel.call.WarmUpPace;
import org.siskindyke.kernel.time.MonotonicClock;

/**
 * The admission queue of a backend server with the pace that its responses ask for; starts waiting calls when their
 * turn comes. Confined to the traffic loop, except for {@link #usableSlots}.
 */
final class PacedAdmission {
    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final ServiceTimeEstimator serviceTimes;
    private final ArrivalPace pace = new ArrivalPace();
    private final AdmissionQueue queue;
    private boolean turnScheduled;
    private volatile int usableSlots = Integer.MAX_VALUE;

    PacedAdmission(
            TrafficLoop traffic,
            MonotonicClock clock,
            ServiceTimeEstimator serviceTimes,
            BiFunction<ServiceTimeEstimator, ArrivalPace, AdmissionPolicy> policies) {
        this.traffic = traffic;
        this.clock = clock;
        this.serviceTimes = serviceTimes;
        this.queue = new AdmissionQueue(0, serviceTimes, pace, policies.apply(serviceTimes, pace));
    }

    AdmissionQueue queue() {
        return queue;
    }

    /** Forgets the pace, since another incarnation of the backend server has started. */
    void onNewIncarnation() {
        pace.reset();
    }

    /**
     * Sets what the backend server takes while it is cold, and until when it is.
     *
     * @param limit the limit on calls
     * @param coldUntilMillis when the warm-up ends, by the monotonic clock
     */
    void setWarmUp(WarmUpPace.Limit limit, long coldUntilMillis) {
        pace.warmUp().set(limit, coldUntilMillis, clock.nowMillis());
    }

    /** Returns whether the backend server is cold, so that its calls are spaced. */
    boolean isCold() {
        return pace.warmUp().isCold();
    }

    /** Records that the backend server does not count a call that was sent at a time. */
    void onNotCounted(long sentMillis) {
        pace.warmUp().onNotCounted(sentMillis);
    }

    /**
     * Applies what a response says about the limit on calls.
     *
     * @param limit the limit in the response
     * @param ran whether the response is one to a call that ran, so that a missing limit means that there is none
     */
    void onResponse(AnnouncedLimit limit, boolean ran) {
        switch (limit.state()) {
            case NAMED -> pace.onLimit(limit.callsPerSecond(), clock.nowMillis());
            case NONE -> {
                if (ran) {
                    pace.onNoLimit();
                }
            }
            default -> {
                // A malformed limit changes nothing; the dispatcher logs it.
            }
        }
    }

    /** Gives the slot of a call back that has ended, whether or not there was a response. */
    void releaseSlot() {
        pace.onEnded();
        queue.releaseSlot(clock.nowMillis());
    }

    /** Starts the calls whose turn has come; called after each change and every few tens of milliseconds. */
    void admit() {
        long nowMillis = clock.nowMillis();
        queue.admit(nowMillis);
        long delayMillis = queue.turnDelayMillis(nowMillis);
        if (delayMillis > 0 && !turnScheduled) {
            turnScheduled = true;
            traffic.schedule(this::onTurn, delayMillis);
        }
    }

    private void onTurn() {
        turnScheduled = false;
        admit();
    }

    /** Refuses the calls that will miss their deadline, and starts those whose turn has come. */
    void tick() {
        pace.warmUp().update(clock.nowMillis());
        queue.refusePredictedTimeouts(clock.nowMillis());
        admit();
        usableSlots = pace.isLimited() ? busySlotsWithinLimit() : Integer.MAX_VALUE;
    }

    private int busySlotsWithinLimit() {
        double averageMillis = serviceTimes.averageMillis(clock.nowMillis());
        return (int) Math.max(1, Math.ceil(averageMillis / pace.intervalMillis()));
    }

    /** Returns the slots that the backend server can keep busy within its limit. May be called on any thread. */
    int usableSlots() {
        return usableSlots;
    }

    /** Returns the time between two calls that the limit requires, rounded up to milliseconds; 0 without a limit. */
    int intervalMillis() {
        return (int) Math.ceil(pace.intervalMillis());
    }
}
