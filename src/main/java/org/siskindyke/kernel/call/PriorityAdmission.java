package org.siskindyke.kernel.call;

import java.util.Comparator;

/**
 * Puts nested calls first, since a running call waits for them, then calls of higher priority. Within a priority, calls
 * that can still meet their latency objective go first, by earliest objective; the others follow by earliest deadline.
 * A call that cannot be served before its deadline is refused at once.
 */
public final class PriorityAdmission implements AdmissionPolicy {
    /** Fraction of the expected service time that must remain until the deadline, as calls vary around the average. */
    static final double MIN_SERVICE_TIME_SHARE = 0.6;

    private final ServiceTimeEstimator times;
    private final ArrivalPace pace;

    /**
     * Creates a policy.
     *
     * @param times estimates the service time of calls
     * @param pace says whether the target has named a limit on calls
     */
    public PriorityAdmission(ServiceTimeEstimator times, ArrivalPace pace) {
        this.times = times;
        this.pace = pace;
    }

    @Override
    public Comparator<AdmissionQueue.Entry> order(long nowMillis) {
        return Comparator.comparing((AdmissionQueue.Entry e) -> !e.attributes().nested())
                .thenComparingInt(e -> e.attributes().priority())
                .thenComparing(e -> !meetsObjective(e, nowMillis))
                .thenComparingLong(
                        e -> meetsObjective(e, nowMillis) ? e.attributes().objectiveMillis() : e.deadlineMillis())
                .thenComparingLong(AdmissionQueue.Entry::sequenceNumber);
    }

    /** Returns whether a call that starts now would meet its objective; false for nested calls, ordered by deadline. */
    private boolean meetsObjective(AdmissionQueue.Entry entry, long nowMillis) {
        return !entry.attributes().nested()
                && nowMillis + ownMillis(entry, nowMillis) <= entry.attributes().objectiveMillis();
    }

    private double ownMillis(AdmissionQueue.Entry entry, long nowMillis) {
        return times.expectedMillis(entry.attributes().kind(), nowMillis);
    }

    @Override
    public boolean refusesArrival(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis) {
        SchedulingAttributes attributes = entry.attributes();
        double endMillis = nowMillis + outlook.startDelayMillis() + ownMillis(entry, nowMillis);
        boolean late = endMillis > attributes.objectiveMillis();
        boolean retryElsewhere = attributes.movable() && late;
        // Under a limit that is used up, newer calls would overtake a late one until its deadline.
        boolean crowdedOut = pace.isLimited() && late && outlook.othersWait() && !attributes.nested();
        // A cold target is slow, so that a call which waits for its turn only delays those that could be in time.
        boolean waitsForTurn = outlook.startDelayMillis() > 0 && !attributes.nested();
        boolean lateWhileCold = pace.warmUp().isCold() && late && waitsForTurn;
        return refusesWaiting(entry, outlook, nowMillis) || retryElsewhere || crowdedOut || lateWhileCold;
    }

    @Override
    public boolean refusesWaiting(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis) {
        double startMillis = nowMillis + outlook.startDelayMillis();
        return startMillis + ownMillis(entry, nowMillis) * MIN_SERVICE_TIME_SHARE > entry.deadlineMillis();
    }

    @Override
    public boolean refusesStart(AdmissionQueue.Entry entry, long nowMillis) {
        return nowMillis + ownMillis(entry, nowMillis) * MIN_SERVICE_TIME_SHARE > entry.deadlineMillis();
    }

    @Override
    public long retryAfterMillis(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis) {
        return (long) Math.max(ownMillis(entry, nowMillis), outlook.startDelayMillis());
    }
}
