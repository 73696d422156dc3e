package org.siskindyke.runtime;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.traffic.HttpListener;
import org.siskindyke.runtime.traffic.TrafficLoop;
import org.siskindyke.runtime.traffic.UnsentResponses;

/** Lets the responses to a router's callers leave before its process ends. Its methods block the calling thread. */
final class ResponseDrain {
    private static final long POLL_INTERVAL_MILLIS = 20;
    /** Longest wait for the traffic loop. */
    private static final long LOOP_TIMEOUT_MILLIS = 1_000;

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final HttpListener callers;

    /** Creates a drain for the callers of a listener on a traffic loop. */
    ResponseDrain(TrafficLoop traffic, MonotonicClock clock, HttpListener callers) {
        this.traffic = traffic;
        this.clock = clock;
        this.callers = callers;
    }

    /**
     * Waits until all callers' requests are answered and no calls are left.
     *
     * @param untilMillis when the wait ends at the latest, by the monotonic clock
     * @param calls returns the number of calls to wait for, on the traffic loop
     */
    void awaitAnswered(long untilMillis, IntSupplier calls) throws InterruptedException {
        while (clock.nowMillis() < untilMillis && unanswered(calls) > 0) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /**
     * Returns the number of unanswered requests of callers plus that of calls; 1 if the traffic loop does not report
     * them in time.
     *
     * @param calls returns the number of calls to count, on the traffic loop
     */
    int unanswered(IntSupplier calls) throws InterruptedException {
        int[] count = new int[1];
        boolean counted = runOnLoop(() -> count[0] = callers.unanswered() + calls.getAsInt());
        return counted ? count[0] : 1;
    }

    /**
     * Lets ready responses leave that wait for the responses to earlier requests, see {@link
     * HttpListener#releaseReadyResponses}. Waits until those that are ready now have been passed to the transport.
     *
     * @param listener receives, on the traffic loop, what callers wait for before that
     */
    void release(Consumer<List<UnsentResponses>> listener) throws InterruptedException {
        runOnLoop(() -> {
            listener.accept(callers.unsentResponses());
            callers.releaseReadyResponses();
        });
    }

    /** Runs an action on the traffic loop and waits for its end; returns whether it has ended in time. */
    private boolean runOnLoop(Runnable action) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        traffic.execute(() -> {
            action.run();
            done.countDown();
        });
        return done.await(LOOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
