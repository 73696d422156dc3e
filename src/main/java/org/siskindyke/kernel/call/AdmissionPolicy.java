package org.siskindyke.kernel.call;

import java.util.Comparator;

/**
 * Decides which calls an {@link AdmissionQueue} admits and in which order. Confined to the queue's thread; all times
 * are on the monotonic clock, in milliseconds.
 */
public interface AdmissionPolicy {
    /**
     * What the queue expects for a call.
     *
     * @param startDelayMillis expected time until the call can start, given the calls that go first
     * @param slots calls that may run concurrently
     * @param othersWait whether other calls wait
     */
    record Outlook(double startDelayMillis, int slots, boolean othersWait) {}

    /** Records a call that has arrived, before any decision about it. */
    default void onArrival(AdmissionQueue.Entry entry, long nowMillis) {}

    /** Records a call that is admitted at once or waits. */
    default void onAccepted(AdmissionQueue.Entry entry, long nowMillis) {}

    /** Records a call that is refused on arrival. */
    default void onRefused(AdmissionQueue.Entry entry, long nowMillis) {}

    /** Records a waiting call that is refused. */
    default void onWaitingRefused(AdmissionQueue.Entry entry, long nowMillis) {}

    /** Records a call that gets a slot. */
    default void onStarted(AdmissionQueue.Entry entry, long nowMillis) {}

    /**
     * Records the end of a nested call that a running call has made.
     *
     * @param parentKind kind of the running call
     * @param refused whether the nested call was refused, so that the running call fails
     */
    default void onNestedEnded(String parentKind, boolean refused, long nowMillis) {}

    /** Returns the order in which waiting calls start. */
    Comparator<AdmissionQueue.Entry> order(long nowMillis);

    /** Returns whether a call that has to wait is refused when it arrives. */
    boolean refusesArrival(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis);

    /** Returns whether a waiting call is refused, by its present outlook. */
    boolean refusesWaiting(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis);

    /** Returns whether a call whose turn has come is refused, as it is too late to start it. */
    boolean refusesStart(AdmissionQueue.Entry entry, long nowMillis);

    /**
     * Returns the delay after which a call that is refused on arrival is asked to return, in milliseconds; 0 if
     * unknown.
     */
    long retryAfterMillis(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis);

    /** As above, of a waiting call that is refused. */
    default long retryAfterWaitMillis(AdmissionQueue.Entry entry, Outlook outlook, long nowMillis) {
        return (long) outlook.startDelayMillis();
    }

    /** Returns the decisions since the policy's creation. */
    default AdmissionCounts counts() {
        return AdmissionCounts.NONE;
    }
}
