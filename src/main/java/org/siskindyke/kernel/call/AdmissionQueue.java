package org.siskindyke.kernel.call;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Admits calls to the slots of one target and orders those that wait. Confined to one thread.
 *
 * <p>Calls that a running call waits for go first, then those of higher priority. Of one priority, those that can still
 * meet their objective go before those that have missed it, and those whose time ends sooner go first. A call that
 * cannot be served in time is refused at once, so that its caller can come back or go elsewhere.
 */
public final class AdmissionQueue {
    /** Waiting calls for each slot beyond which more are refused; bounds memory, not the wait. */
    private static final int MAX_WAITING_PER_SLOT = 16;
    /** Part of a call's expected time that must be left at its start; calls differ around the average. */
    private static final double MIN_SERVICE_TIME_SHARE = 0.6;

    private final List<Entry> waiting = new ArrayList<>();
    private final ServiceTimeEstimator times;
    private int slots;
    private int used;
    private long nextSequenceNumber;

    /** A call that asks for a slot. */
    public static final class Entry {
        private final SchedulingAttributes attributes;
        private final long deadlineMillis;
        private final Runnable onAdmitted;
        private final BiConsumer<Refusal, Long> onRefused;
        private long sequenceNumber;

        /**
         * Creates an entry.
         *
         * @param attributes its place in the order
         * @param deadlineMillis the moment from which an answer is of no use
         * @param onAdmitted runs when the call has a slot, which it must give back
         * @param onRefused takes the cause and the milliseconds after which to come back
         */
        public Entry(
                SchedulingAttributes attributes,
                long deadlineMillis,
                Runnable onAdmitted,
                BiConsumer<Refusal, Long> onRefused) {
            this.attributes = attributes;
            this.deadlineMillis = deadlineMillis;
            this.onAdmitted = onAdmitted;
            this.onRefused = onRefused;
        }
    }

    /**
     * Creates a queue.
     *
     * @param slots calls that may run at a time
     * @param times how long calls take
     */
    public AdmissionQueue(int slots, ServiceTimeEstimator times) {
        this.slots = slots;
        this.times = times;
    }

    /** Changes the number of slots; calls that have one keep it. */
    public void resize(int newSlots) {
        slots = newSlots;
    }

    /** Returns the slots. */
    public int slots() {
        return slots;
    }

    /** Returns the slots in use. */
    public int used() {
        return used;
    }

    /** Returns the number of calls that wait. */
    public int waiting() {
        return waiting.size();
    }

    /** Admits a call, lets it wait or refuses it. */
    public void submit(Entry entry, long nowMillis) {
        entry.sequenceNumber = nextSequenceNumber++;
        if (used < slots && waiting.isEmpty()) {
            used++;
            entry.onAdmitted.run();
            return;
        }
        double waitMillis = waitMillis(entry, nowMillis);
        double ownMillis = times.expectedMillis(entry.attributes.kind(), nowMillis);
        boolean tooLate = nowMillis + waitMillis + ownMillis * MIN_SERVICE_TIME_SHARE > entry.deadlineMillis;
        boolean retryElsewhere =
                entry.attributes.movable() && nowMillis + waitMillis + ownMillis > entry.attributes.objectiveMillis();
        if (waiting.size() >= slots * MAX_WAITING_PER_SLOT || tooLate || retryElsewhere) {
            entry.onRefused.accept(Refusal.QUEUE_FULL, (long) Math.max(ownMillis, waitMillis));
        } else {
            waiting.add(entry);
        }
    }

    /** Returns how long a call that came now would wait for a slot. */
    private double waitMillis(Entry entry, long nowMillis) {
        Comparator<Entry> order = order(nowMillis);
        double aheadMillis = 0;
        for (Entry ahead : waiting) {
            if (order.compare(ahead, entry) < 0) {
                aheadMillis += times.expectedMillis(ahead.attributes.kind(), nowMillis);
            }
        }
        return (aheadMillis + times.averageMillis(nowMillis)) / Math.max(1, slots);
    }

    private Comparator<Entry> order(long nowMillis) {
        return Comparator.comparing((Entry e) -> !e.attributes.nested())
                .thenComparingInt(e -> e.attributes.priority())
                .thenComparing(e -> !meetsObjective(e, nowMillis))
                .thenComparingLong(e -> meetsObjective(e, nowMillis) ? e.attributes.objectiveMillis() : e.deadlineMillis)
                .thenComparingLong(e -> e.sequenceNumber);
    }

    /** Tells whether a call that started now would meet its objective; one that is waited for counts till its end. */
    private boolean meetsObjective(Entry entry, long nowMillis) {
        return !entry.attributes.nested()
                && nowMillis + times.expectedMillis(entry.attributes.kind(), nowMillis) <= entry.attributes.objectiveMillis();
    }

    /** Takes a waiting call out, so that it is neither admitted nor refused; tells whether it was waiting. */
    public boolean remove(Entry entry) {
        return waiting.remove(entry);
    }

    /** Gives a slot back and admits others. */
    public void releaseSlot(long nowMillis) {
        used--;
        admit(nowMillis);
    }

    /** Admits waiting calls to free slots. */
    public void admit(long nowMillis) {
        while (used < slots && !waiting.isEmpty()) {
            Entry next = Collections.min(waiting, order(nowMillis));
            waiting.remove(next);
            double minServiceMillis = times.expectedMillis(next.attributes.kind(), nowMillis) * MIN_SERVICE_TIME_SHARE;
            if (nowMillis + minServiceMillis > next.deadlineMillis) {
                next.onRefused.accept(Refusal.QUEUE_TIMEOUT, 0L);
            } else {
                used++;
                next.onAdmitted.run();
            }
        }
    }

    /** Refuses the waiting calls that more urgent ones have pushed back too far. */
    public void refusePredictedTimeouts(long nowMillis) {
        double aheadMillis = times.averageMillis(nowMillis);
        List<Entry> late = new ArrayList<>();
        List<Entry> ordered = new ArrayList<>(waiting);
        ordered.sort(order(nowMillis));
        for (Entry entry : ordered) {
            double ownMillis = times.expectedMillis(entry.attributes.kind(), nowMillis);
            double startMillis = nowMillis + aheadMillis / Math.max(1, slots);
            if (startMillis + ownMillis * MIN_SERVICE_TIME_SHARE > entry.deadlineMillis) {
                late.add(entry);
            } else {
                aheadMillis += ownMillis;
            }
        }
        for (Entry entry : late) {
            waiting.remove(entry);
            entry.onRefused.accept(Refusal.QUEUE_TIMEOUT, (long) (aheadMillis / Math.max(1, slots)));
        }
    }

    /** Refuses all waiting calls. */
    public void refuseAll(Refusal cause) {
        List<Entry> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(entry -> entry.onRefused.accept(cause, 0L));
    }
}
