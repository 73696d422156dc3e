package org.siskindyke.kernel.call;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Limits the concurrent calls of one target to its slots, spaces them by its {@link ArrivalPace}, and orders the calls
 * that wait. Confined to one thread. All times are on the monotonic clock.
 *
 * <p>An {@link AdmissionPolicy} decides about order and refusals. A call that cannot be served in time is refused at
 * once, so that its caller can retry later or at another target.
 *
 * <p>For calls that are routed by a {@code RouteTable}; calls of service documents wait in a {@link SlotQueue}.
 */
public final class AdmissionQueue {
    /** Maximum waiting calls per slot; bounds memory, not the waiting time. */
    private static final int MAX_WAITING_PER_SLOT = 16;

    private final List<Entry> waiting = new ArrayList<>();
    private final ServiceTimeEstimator times;
    private final ArrivalPace pace;
    private final AdmissionPolicy policy;
    private int slots;
    private int used;
    private boolean admitting;
    private long nextSequenceNumber;

    /** A call that needs a slot. */
    public static final class Entry {
        private final SchedulingAttributes attributes;
        private final long deadlineMillis;
        private final Runnable onAdmitted;
        private final BiConsumer<Refusal, Long> onRefused;
        private long sequenceNumber;
        private long submittedMillis;
        private boolean movedToFront;

        /**
         * Creates an entry.
         *
         * @param attributes determine the call's position in the queue
         * @param deadlineMillis time from which a response is of no use
         * @param onAdmitted runs when the call gets a slot, which must be given back by {@link #releaseSlot}
         * @param onRefused accepts the cause and the milliseconds after which to retry, 0 if unknown
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

        /** Returns the attributes that determine the call's position. */
        public SchedulingAttributes attributes() {
            return attributes;
        }

        /** Returns the time from which a response is of no use. */
        public long deadlineMillis() {
            return deadlineMillis;
        }

        /** Returns the position of the call among those of its queue, by arrival. */
        long sequenceNumber() {
            return sequenceNumber;
        }

        /** Marks the call as one that goes before all ranks. */
        void moveToFront() {
            movedToFront = true;
        }

        /** Returns whether the call goes before all ranks. */
        boolean isMovedToFront() {
            return movedToFront;
        }

        /** Returns when the call arrived at its queue. */
        long submittedMillis() {
            return submittedMillis;
        }
    }

    /**
     * Creates a queue with a {@link PriorityAdmission}.
     *
     * @param slots calls that may run concurrently
     * @param times estimates the service time of calls
     * @param pace decides when the next call may start
     */
    public AdmissionQueue(int slots, ServiceTimeEstimator times, ArrivalPace pace) {
        this(slots, times, pace, new PriorityAdmission(times, pace));
    }

    /**
     * Creates a queue.
     *
     * @param slots calls that may run concurrently
     * @param times estimates the service time of calls
     * @param pace decides when the next call may start
     * @param policy decides about the order of calls and about refusals
     */
    public AdmissionQueue(int slots, ServiceTimeEstimator times, ArrivalPace pace, AdmissionPolicy policy) {
        this.slots = slots;
        this.times = times;
        this.pace = pace;
        this.policy = policy;
    }

    /** Changes the number of slots. Admitted calls keep theirs; {@link #admit} gives new ones to waiting calls. */
    public void resize(int newSlots) {
        slots = newSlots;
    }

    public int slots() {
        return slots;
    }

    /** Returns the number of slots in use. */
    public int used() {
        return used;
    }

    /** Returns the decisions of the queue's policy. */
    public AdmissionCounts counts() {
        return policy.counts();
    }

    /** Records the end of a nested call that a running call has made, see {@link AdmissionPolicy#onNestedEnded}. */
    public void onNestedEnded(String parentKind, boolean refused, long nowMillis) {
        policy.onNestedEnded(parentKind, refused, nowMillis);
    }

    /** Returns the number of waiting calls. */
    public int waiting() {
        return waiting.size();
    }

    /** Admits, enqueues or refuses a call; its callback may run before this method returns. */
    public void submit(Entry entry, long nowMillis) {
        entry.sequenceNumber = nextSequenceNumber++;
        entry.submittedMillis = nowMillis;
        policy.onArrival(entry, nowMillis);
        if (waiting.isEmpty() && isAdmitting(nowMillis)) {
            policy.onAccepted(entry, nowMillis);
            start(entry, nowMillis);
            return;
        }
        AdmissionPolicy.Outlook outlook = outlook(waitMillis(entry, nowMillis));
        if (waiting.size() >= slots * MAX_WAITING_PER_SLOT || policy.refusesArrival(entry, outlook, nowMillis)) {
            policy.onRefused(entry, nowMillis);
            entry.onRefused.accept(Refusal.QUEUE_FULL, policy.retryAfterMillis(entry, outlook, nowMillis));
        } else {
            policy.onAccepted(entry, nowMillis);
            waiting.add(entry);
        }
    }

    private AdmissionPolicy.Outlook outlook(double startDelayMillis) {
        return new AdmissionPolicy.Outlook(startDelayMillis, slots, !waiting.isEmpty());
    }

    private boolean isAdmitting(long nowMillis) {
        return used < slots && pace.allows(used, nowMillis);
    }

    private void start(Entry entry, long nowMillis) {
        used++;
        pace.onStarted(nowMillis);
        policy.onStarted(entry, nowMillis);
        entry.onAdmitted.run();
    }

    /** Estimates how long a call that arrives now would wait for a slot and its turn. */
    private double waitMillis(Entry entry, long nowMillis) {
        Comparator<Entry> order = policy.order(nowMillis);
        double aheadMillis = 0;
        int aheadCount = 0;
        for (Entry ahead : waiting) {
            if (order.compare(ahead, entry) < 0) {
                aheadMillis += times.expectedMillis(ahead.attributes.kind(), nowMillis);
                aheadCount++;
            }
        }
        return startDelayMillis(aheadMillis, aheadCount, nowMillis);
    }

    /**
     * Estimates when a call can start, in milliseconds from now.
     *
     * @param aheadMillis expected service time of the waiting calls that go first, in all
     * @param aheadCount their number
     */
    private double startDelayMillis(double aheadMillis, int aheadCount, long nowMillis) {
        double untilFreeMillis = used < slots ? 0 : times.averageMillis(nowMillis);
        double slotMillis = (aheadMillis + untilFreeMillis) / Math.max(1, slots);
        return Math.max(slotMillis, pace.delayMillis(nowMillis) + aheadCount * pace.intervalMillis());
    }

    /** Returns in how many milliseconds {@link #admit} may start a call that waits for its turn; 0 if none does. */
    public long turnDelayMillis(long nowMillis) {
        return waiting.isEmpty() || used >= slots ? 0 : pace.delayMillis(nowMillis);
    }

    /** Removes a waiting call without running its callbacks; returns false if it was not waiting. */
    public boolean remove(Entry entry) {
        return waiting.remove(entry);
    }

    /** Gives a slot back and runs {@link #admit}. */
    public void releaseSlot(long nowMillis) {
        used--;
        admit(nowMillis);
    }

    /** Admits waiting calls as slots and pace allow, and refuses those whose turn comes too late for their deadline. */
    public void admit(long nowMillis) {
        if (admitting) {
            // Called back by a call that has given its slot back at once; the loop below goes on.
            return;
        }
        admitting = true;
        try {
            admitWaiting(nowMillis);
        } finally {
            admitting = false;
        }
    }

    private void admitWaiting(long nowMillis) {
        while (!waiting.isEmpty() && isAdmitting(nowMillis)) {
            Entry next = Collections.min(waiting, policy.order(nowMillis));
            waiting.remove(next);
            if (policy.refusesStart(next, nowMillis)) {
                policy.onWaitingRefused(next, nowMillis);
                next.onRefused.accept(Refusal.QUEUE_TIMEOUT, 0L);
            } else {
                start(next, nowMillis);
            }
        }
    }

    /** Refuses the waiting calls that will be too late, such as those that more urgent calls have overtaken. */
    public void refusePredictedTimeouts(long nowMillis) {
        double aheadMillis = 0;
        int aheadCount = 0;
        List<Entry> late = new ArrayList<>();
        List<Entry> ordered = new ArrayList<>(waiting);
        ordered.sort(policy.order(nowMillis));
        for (Entry entry : ordered) {
            double ownMillis = times.expectedMillis(entry.attributes.kind(), nowMillis);
            double delayMillis = startDelayMillis(aheadMillis, aheadCount, nowMillis);
            if (policy.refusesWaiting(entry, outlook(delayMillis), nowMillis)) {
                late.add(entry);
            } else {
                aheadMillis += ownMillis;
                aheadCount++;
            }
        }
        AdmissionPolicy.Outlook afterwards = outlook(startDelayMillis(aheadMillis, aheadCount, nowMillis));
        for (Entry entry : late) {
            waiting.remove(entry);
            policy.onWaitingRefused(entry, nowMillis);
            entry.onRefused.accept(Refusal.QUEUE_TIMEOUT, policy.retryAfterWaitMillis(entry, afterwards, nowMillis));
        }
    }
}
