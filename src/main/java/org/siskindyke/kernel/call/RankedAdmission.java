package org.siskindyke.kernel.call;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Allocates the capacity of an overloaded target by the ranks of the calls and by what can still be served in time, see
 * docs/design/admission-under-overload.md.
 *
 * <p>Calls that can meet their objective go before late ones. Nested calls go first, as a running call waits for them,
 * but are admitted by the rank of that call; the others go by rank, within a rank those that return after a refusal
 * first, then by earliest objective. The expected delay of a call includes the calls of higher ranks that will overtake
 * it. A call that would be late is refused at once, unless there is capacity for late calls. Calls of a kind that is
 * served much less than others go before all ranks.
 */
public final class RankedAdmission implements AdmissionPolicy {
    /** Share of calls served, relative to the best served kind, below which a kind goes first; 0.25 is required. */
    private static final double MIN_SHARE = 0.3;
    /** As above, for nested calls, whose refusal also wastes what the running calls have used. */
    private static final double MIN_NESTED_SHARE = 0.5;
    /** Time over which the load of the ranks is taken. */
    private static final double LOAD_DECAY_MILLIS = 2_000;
    /** Load of higher ranks from which on the expected delay no longer grows. */
    private static final double MAX_LOAD = 0.95;
    /** As above, for the delay that callers are told; with 0.95 they gave up although there was capacity again. */
    private static final double MAX_LOAD_FOR_RETRY = 0.8;
    /** Load offered by nested calls and higher ranks from which on nested calls are refused; refused calls count. */
    private static final double MAX_LOAD_WITH_NESTED_CALLS = 1.1;
    /** Load from which on calls that would be late are refused, as there is no capacity beside those in time. */
    private static final double MAX_LOAD_WITH_LATE_CALLS = 0.9;
    /** Service time assumed for a call that must be in time, relative to the average, as calls vary around it. */
    private static final double SAFE_SERVICE_TIME_SHARE = 1.2;
    /** Fraction of the time to its objective that a call without a good chance to meet it may wait. */
    private static final double MAX_HOPELESS_WAIT_SHARE = 1 / 8.0;
    /** Failed nested calls per started call of a kind, from which on the kind gives way to waiting calls. */
    private static final double MAX_NESTED_FAILURES = 0.5;
    /** Maximum number of ranks and kinds, to bound memory; further ones are not counted. */
    private static final int MAX_GROUPS = 1_000;
    /** Rank of the calls that go before all others. */
    private static final int FRONT_RANK = Integer.MIN_VALUE;

    private final ServiceTimeEstimator times;
    private final ArrivalPace pace;
    private final KindShares shares = new KindShares();
    private final TreeMap<Integer, RankLoad> loadByRank = new TreeMap<>();
    private final Map<String, NestedFailures> nestedFailuresByKind = new HashMap<>();
    private long refusedOnArrival;
    private long refusedWaiting;
    private long refusedReturning;
    private long movedToFront;

    /** Work that was offered to the target by calls of one rank, those included that were refused for good. */
    private static final class RankLoad {
        private final DecayingSum workMillis = new DecayingSum(LOAD_DECAY_MILLIS);
        private final DecayingSum calls = new DecayingSum(LOAD_DECAY_MILLIS);
    }

    /** Calls of one kind that were started, and nested calls of such calls that were refused. */
    private static final class NestedFailures {
        private final DecayingSum started = new DecayingSum(LOAD_DECAY_MILLIS);
        private final DecayingSum failed = new DecayingSum(LOAD_DECAY_MILLIS);
    }

    /**
     * Creates a policy.
     *
     * @param times estimates the service time of calls
     * @param pace says which limit on calls the target has named
     */
    public RankedAdmission(ServiceTimeEstimator times, ArrivalPace pace) {
        this.times = times;
        this.pace = pace;
    }

    @Override
    public void onArrival(AdmissionQueue.Entry entry, long nowMillis) {
        SchedulingAttributes attributes = entry.attributes();
        double minShare = attributes.nested() ? MIN_NESTED_SHARE : MIN_SHARE;
        if (shares.isBehind(attributes.kind(), minShare, nowMillis)) {
            entry.moveToFront();
        }
    }

    @Override
    public void onAccepted(AdmissionQueue.Entry entry, long nowMillis) {
        onOffered(entry, nowMillis);
        shares.onAccepted(entry.attributes().kind(), nowMillis);
        movedToFront += entry.isMovedToFront() ? 1 : 0;
    }

    @Override
    public void onRefused(AdmissionQueue.Entry entry, long nowMillis) {
        refusedOnArrival++;
        refusedReturning += entry.attributes().returning() ? 1 : 0;
        // A call that goes to another target next is counted there.
        if (!entry.attributes().movable()) {
            onOffered(entry, nowMillis);
        }
    }

    private void onOffered(AdmissionQueue.Entry entry, long nowMillis) {
        shares.onOffered(entry.attributes().kind(), nowMillis);
        int rank = rank(entry);
        if (loadByRank.size() < MAX_GROUPS || loadByRank.containsKey(rank)) {
            RankLoad load = loadByRank.computeIfAbsent(rank, r -> new RankLoad());
            load.workMillis.add(ownMillis(entry, nowMillis), nowMillis);
            load.calls.add(1, nowMillis);
        }
    }

    @Override
    public void onWaitingRefused(AdmissionQueue.Entry entry, long nowMillis) {
        refusedWaiting++;
    }

    @Override
    public void onStarted(AdmissionQueue.Entry entry, long nowMillis) {
        NestedFailures failures = nestedFailuresByKind.get(entry.attributes().kind());
        if (failures != null) {
            failures.started.add(1, nowMillis);
        }
    }

    @Override
    public void onNestedEnded(String parentKind, boolean refused, long nowMillis) {
        if (refused && (nestedFailuresByKind.size() < MAX_GROUPS || nestedFailuresByKind.containsKey(parentKind))) {
            nestedFailuresByKind
                    .computeIfAbsent(parentKind, k -> new NestedFailures())
                    .failed
                    .add(1, nowMillis);
        }
    }

    private static int rank(AdmissionQueue.Entry entry) {
        return entry.isMovedToFront() ? FRONT_RANK : entry.attributes().priority();
    }

    private double ownMillis(AdmissionQueue.Entry entry, long nowMillis) {
        return times.expectedMillis(entry.attributes().kind(), nowMillis);
    }

    @Override
    public Comparator<AdmissionQueue.Entry> order(long nowMillis) {
        return Comparator.comparing((AdmissionQueue.Entry e) -> !canBeInTime(e, 0, nowMillis))
                .thenComparing(e -> !e.attributes().nested())
                .thenComparingInt(RankedAdmission::rank)
                .thenComparing(e -> !e.attributes().returning())
                .thenComparingLong(e -> e.attributes().objectiveMillis())
                .thenComparingLong(AdmissionQueue.Entry::sequenceNumber);
    }

    /** Returns whether a call that starts after a delay would meet its objective; a nested call, its deadline. */
    private boolean canBeInTime(AdmissionQueue.Entry entry, double delayMillis, long nowMillis) {
        SchedulingAttributes attributes = entry.attributes();
        long dueMillis = attributes.nested() ? entry.deadlineMillis() : attributes.objectiveMillis();
        return nowMillis + delayMillis + ownMillis(entry, nowMillis) <= dueMillis;
    }

    /** Returns the work of ranks below a limit that was lately offered, relative to the target's capacity. */
    private double load(int belowRank, Outlook outlook, long nowMillis) {
        double workMillis = 0;
        double calls = 0;
        for (RankLoad load : loadByRank.headMap(belowRank).values()) {
            workMillis += load.workMillis.value(nowMillis);
            calls += load.calls.value(nowMillis);
        }
        double slotMillis = workMillis / Math.max(1, outlook.slots());
        return Math.max(slotMillis, calls * pace.intervalMillis()) / LOAD_DECAY_MILLIS;
    }

    private double totalLoad(Outlook outlook, long nowMillis) {
        return load(Integer.MAX_VALUE, outlook, nowMillis);
    }

    /** Returns the delay of a call that is overtaken by calls which arrive with a given load. */
    private static double delayMillis(Outlook outlook, double load, double maxLoad) {
        return outlook.startDelayMillis() / (1 - Math.min(maxLoad, load));
    }

    private double delayMillis(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis) {
        return delayMillis(outlook, load(rank(entry), outlook, nowMillis), MAX_LOAD);
    }

    @Override
    public boolean refusesArrival(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis) {
        if (entry.attributes().nested()) {
            return refusesNested(entry, outlook, nowMillis);
        }
        double ownMillis = ownMillis(entry, nowMillis);
        double marginMillis = ownMillis * (SAFE_SERVICE_TIME_SHARE - 1);
        if (canBeInTime(entry, delayMillis(entry, outlook, nowMillis) + marginMillis, nowMillis)) {
            return outlook.othersWait() && nestedCallsFail(entry.attributes().kind(), nowMillis);
        }
        double load = totalLoad(outlook, nowMillis);
        return entry.attributes().movable()
                || load > MAX_LOAD_WITH_LATE_CALLS
                || nowMillis + delayMillis(outlook, load, MAX_LOAD) + ownMillis > entry.deadlineMillis();
    }

    private boolean refusesNested(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis) {
        boolean crowdedOut = !entry.isMovedToFront()
                && load(entry.attributes().priority() + 1, outlook, nowMillis) > MAX_LOAD_WITH_NESTED_CALLS;
        return crowdedOut || refusesWaiting(entry, outlook, nowMillis);
    }

    private boolean nestedCallsFail(String kind, long nowMillis) {
        NestedFailures failures = nestedFailuresByKind.get(kind);
        if (failures == null) {
            return false;
        }
        double started = Math.max(1, failures.started.value(nowMillis));
        return failures.failed.value(nowMillis) > MAX_NESTED_FAILURES * started;
    }

    @Override
    public boolean refusesWaiting(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis) {
        double ownMillis = ownMillis(entry, nowMillis);
        if (nowMillis + outlook.startDelayMillis() + ownMillis > entry.deadlineMillis()) {
            return true;
        }
        long submittedMillis = entry.submittedMillis();
        double maxWaitMillis = (entry.attributes().objectiveMillis() - submittedMillis) * MAX_HOPELESS_WAIT_SHARE;
        return !entry.attributes().nested()
                && nowMillis - submittedMillis > maxWaitMillis
                && !canBeInTime(entry, delayMillis(entry, outlook, nowMillis), nowMillis)
                && totalLoad(outlook, nowMillis) > MAX_LOAD_WITH_LATE_CALLS;
    }

    @Override
    public boolean refusesStart(AdmissionQueue.Entry entry, long nowMillis) {
        double minMillis = ownMillis(entry, nowMillis) * PriorityAdmission.MIN_SERVICE_TIME_SHARE;
        return nowMillis + minMillis > entry.deadlineMillis();
    }

    @Override
    public long retryAfterMillis(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis) {
        double load = load(entry.attributes().priority() + 1, outlook, nowMillis);
        return (long) delayMillis(outlook, load, MAX_LOAD_FOR_RETRY);
    }

    @Override
    public long retryAfterWaitMillis(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis) {
        return retryAfterMillis(entry, outlook, nowMillis);
    }

    @Override
    public AdmissionCounts counts() {
        return new AdmissionCounts(refusedOnArrival, refusedWaiting, refusedReturning, movedToFront);
    }
}
