package org.siskindyke.kernel.crash;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Lets suspected requests run at a backend server one at a time, so that its end is evidence against one of them only.
 * Thread-safe.
 *
 * @param <T> the type of requests, compared by identity
 */
public final class SuspectLane<T> {
    private final int maxWaiting;
    private final Deque<T> waiting = new ArrayDeque<>();
    private T running;

    /** What happens to a request that enters. */
    public enum Entry {
        /** It may run now, and leaves by {@link #leave}. */
        RUN,
        /** It waits until {@link #leave} admits it. */
        WAIT,
        /** Too many wait; it has not entered. */
        FULL
    }

    /** Creates a lane in which at most the given number of requests wait. */
    public SuspectLane(int maxWaiting) {
        this.maxWaiting = maxWaiting;
    }

    /** Lets a request enter. */
    public synchronized Entry enter(T request) {
        if (running == null) {
            running = request;
            return Entry.RUN;
        }
        if (waiting.size() >= maxWaiting) {
            return Entry.FULL;
        }
        waiting.add(request);
        return Entry.WAIT;
    }

    /**
     * Ends the run of a request and admits waiting ones until one runs; does nothing if it is not the one that runs.
     *
     * @param request the request
     * @param admit receives the request that has waited longest, which no longer waits and may enter again
     */
    public void leave(T request, Consumer<T> admit) {
        if (!end(request)) {
            return;
        }
        for (Optional<T> next = next(); next.isPresent(); next = next()) {
            admit.accept(next.get());
        }
    }

    private synchronized boolean end(T request) {
        if (running != request) {
            return false;
        }
        running = null;
        return true;
    }

    /** Removes and returns the request that has waited longest; empty while one runs. */
    private synchronized Optional<T> next() {
        return running == null ? Optional.ofNullable(waiting.poll()) : Optional.empty();
    }

    /** Removes a waiting request; returns whether it waited. */
    public synchronized boolean remove(T request) {
        return waiting.removeIf(other -> other == request);
    }

    /** Returns the waiting requests. */
    public synchronized List<T> waiting() {
        return List.copyOf(waiting);
    }
}
