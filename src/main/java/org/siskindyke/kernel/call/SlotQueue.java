package org.siskindyke.kernel.call;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Limits the concurrent calls of one target to its slots and keeps further calls in a bounded FIFO queue.
 *
 * <p>For calls that are matched by service documents; calls of routes wait in an {@link AdmissionQueue}.
 *
 * <p>Thread-safe. The callbacks of waiters run outside the lock.
 */
public final class SlotQueue {
    private final Deque<Waiter> queue = new ArrayDeque<>();
    private int slots;
    private int queueLength;
    private int used;
    private int maxUsed;

    /** A call that waits for a slot. */
    public interface Waiter {
        /** Returns the time on the monotonic clock, in milliseconds, until which the call may wait. */
        long waitUntilMillis();

        /** Called when the call gets a slot, which must be given back by {@link #releaseSlot}. */
        void onAdmitted();

        /** Called when the call is refused; it has no slot and must not run. */
        void onRefused(Refusal refusal);
    }

    /**
     * Creates a queue.
     *
     * @param slots calls that may run concurrently
     * @param queueLength calls that may wait
     */
    public SlotQueue(int slots, int queueLength) {
        this.slots = slots;
        this.queueLength = queueLength;
    }

    /** Changes the limits and runs {@link #expire}; admitted calls keep their slots, and waiting calls their places. */
    public void resize(int newSlots, int newQueueLength, long nowMillis) {
        synchronized (this) {
            slots = newSlots;
            queueLength = newQueueLength;
        }
        expire(nowMillis);
    }

    /** Admits, enqueues or refuses a call; its callback may run before this method returns. */
    public void submit(Waiter waiter, long nowMillis) {
        boolean admitted;
        synchronized (this) {
            admitted = used < slots;
            if (admitted) {
                takeSlot();
            } else if (queue.size() < queueLength && nowMillis < waiter.waitUntilMillis()) {
                queue.add(waiter);
                return;
            }
        }
        if (admitted) {
            waiter.onAdmitted();
        } else {
            waiter.onRefused(Refusal.QUEUE_FULL);
        }
    }

    /** Gives a slot back, refuses the calls that have waited too long and admits the next ones. */
    public void releaseSlot(long nowMillis) {
        synchronized (this) {
            used--;
        }
        expire(nowMillis);
    }

    /** Refuses the calls that have waited too long and admits waiting calls to free slots. */
    public void expire(long nowMillis) {
        List<Waiter> admitted = new ArrayList<>();
        List<Waiter> refused = new ArrayList<>();
        synchronized (this) {
            queue.removeIf(w -> nowMillis >= w.waitUntilMillis() && refused.add(w));
            while (used < slots && !queue.isEmpty()) {
                takeSlot();
                admitted.add(queue.remove());
            }
        }
        refused.forEach(w -> w.onRefused(Refusal.QUEUE_TIMEOUT));
        admitted.forEach(Waiter::onAdmitted);
    }

    /** Removes a waiting call without running its callbacks; returns false if it was not waiting. */
    public synchronized boolean remove(Waiter waiter) {
        return queue.remove(waiter);
    }

    /** Returns the number of calls that may run concurrently. */
    public synchronized int slots() {
        return slots;
    }

    /** Returns the number of slots in use. */
    public synchronized int used() {
        return used;
    }

    /** Returns the maximum number of slots that were ever in use at the same time. */
    public synchronized int maxUsed() {
        return maxUsed;
    }

    /** Returns the number of waiting calls. */
    public synchronized int waiting() {
        return queue.size();
    }

    private void takeSlot() {
        used++;
        maxUsed = Math.max(maxUsed, used);
    }
}
