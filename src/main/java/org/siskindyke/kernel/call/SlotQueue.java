package org.siskindyke.kernel.call;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Admits calls to the slots of one target and keeps a short queue with deadlines.
 *
 * <p>Safe for use by several threads. Waiters are told of their admission or refusal outside the lock.
 */
public final class SlotQueue {
    private final Deque<Waiter> queue = new ArrayDeque<>();
    private int slots;
    private int queueLength;
    private int used;
    private int maxUsed;

    /** A call that waits for a slot. */
    public interface Waiter {
        /** Returns the moment from which the call no longer waits, in milliseconds. */
        long waitUntilMillis();

        /** The call has a slot and must give it back. */
        void onAdmitted();

        /** The call has no slot and must not run. */
        void onRefused(Refusal refusal);
    }

    /**
     * Creates a queue.
     *
     * @param slots calls that may run at a time
     * @param queueLength calls that may wait
     */
    public SlotQueue(int slots, int queueLength) {
        this.slots = slots;
        this.queueLength = queueLength;
    }

    /** Changes the limits; calls that have a slot keep it. */
    public void resize(int newSlots, int newQueueLength, long nowMillis) {
        synchronized (this) {
            slots = newSlots;
            queueLength = newQueueLength;
        }
        expire(nowMillis);
    }

    /** Admits the call, queues it or refuses it. */
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

    /** Gives a slot back and admits the next call that is still waiting. */
    public void releaseSlot(long nowMillis) {
        synchronized (this) {
            used--;
        }
        expire(nowMillis);
    }

    /** Refuses the calls that have waited too long and admits others to free slots. */
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

    /** Takes a call out of the queue, so that it is neither admitted nor refused. */
    public synchronized boolean remove(Waiter waiter) {
        return queue.remove(waiter);
    }

    /** Returns the number of calls that may run at a time. */
    public synchronized int slots() {
        return slots;
    }

    /** Returns the slots in use. */
    public synchronized int used() {
        return used;
    }

    /** Returns the most slots that were in use at a time. */
    public synchronized int maxUsed() {
        return maxUsed;
    }

    /** Returns the number of calls that wait. */
    public synchronized int waiting() {
        return queue.size();
    }

    private void takeSlot() {
        used++;
        maxUsed = Math.max(maxUsed, used);
    }
}
