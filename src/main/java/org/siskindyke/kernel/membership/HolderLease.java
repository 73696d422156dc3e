package org.siskindyke.kernel.membership;

import java.util.TreeMap;

import org.siskindyke.kernel.id.MemberId;

/**
 * The lease of a member as the member itself tracks it: each renewal counts from the moment it was sent.
 *
 * <p>While the member replaces its grantor it accepts no renewals, because the new grantor waits only for the end of
 * leases that were granted before the member's row named it.
 *
 * <p>Whatever is granted, the lease ends at the outage bound, until which the member may serve without reaching the
 * table. Not thread-safe.
 */
public class HolderLease {
    private static final int MAX_PENDING_RENEWALS = 64;

    private final TreeMap<Long, Long> sentMillisBySequence = new TreeMap<>();
    private MemberId grantor;
    private long epoch;
    private boolean accepting;
    private boolean ended;
    private long nextSequence = 1;
    private long leaseEndMillis = Long.MIN_VALUE;
    private long outageBoundEndMillis = Long.MIN_VALUE;
    private long lastGrantMillis = Long.MIN_VALUE;

    /** Returns the recorded grantor; null before the member has joined. */
    public MemberId grantor() {
        return grantor;
    }

    /** Returns the epoch of the recorded grantor. */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the end of the lease on the member's own clock, in milliseconds: the earlier of the end of the last grant
     * and the outage bound; {@code Long.MIN_VALUE} for no lease.
     */
    public long leaseEndMillis() {
        return ended ? Long.MIN_VALUE : Math.min(leaseEndMillis, outageBoundEndMillis);
    }

    /** Returns when a grant was last accepted or the grantor set, in milliseconds; {@code Long.MIN_VALUE} for never. */
    public long lastGrantMillis() {
        return lastGrantMillis;
    }

    /** Returns whether renewals are accepted at present. */
    public boolean isAcceptingRenewals() {
        return accepting;
    }

    /** Returns whether the lease is valid, so that the member may serve. */
    public boolean isValid(long nowMillis) {
        return nowMillis < leaseEndMillis();
    }

    /**
     * Sets the grantor that the table is known to record, and accepts renewals.
     *
     * @param newGrantor the grantor
     * @param newEpoch its epoch
     * @param nowMillis the current time, from which the grantor's silence counts
     */
    public void setGrantor(MemberId newGrantor, long newEpoch, long nowMillis) {
        grantor = newGrantor;
        epoch = newEpoch;
        accepting = true;
        lastGrantMillis = nowMillis;
        sentMillisBySequence.clear();
    }

    /**
     * Extends the outage bound.
     *
     * @param endMillis when the member stops serving unless it has reached the table again
     */
    public void extendOutageBound(long endMillis) {
        outageBoundEndMillis = Math.max(outageBoundEndMillis, endMillis);
    }

    /** Stops accepting renewals; called before a change of grantor is written to the table. */
    public void suspendRenewals() {
        accepting = false;
    }

    /** Accepts renewals again; called once a change of grantor is known not to have taken effect. */
    public void resumeRenewals() {
        accepting = !ended;
    }

    /**
     * Ends the current lease and discards renewals in flight. Called after the machine was suspended, because the clock
     * did not count the time of the suspension.
     */
    public void invalidate() {
        leaseEndMillis = Long.MIN_VALUE;
        sentMillisBySequence.clear();
    }

    /** Ends the lease permanently; later renewals are not accepted. */
    public void end() {
        ended = true;
        accepting = false;
    }

    /**
     * Registers a renewal that is about to be sent.
     *
     * @param nowMillis the time of sending
     * @return the sequence number to send with it
     */
    public long beginRenewal(long nowMillis) {
        long sequence = nextSequence++;
        sentMillisBySequence.put(sequence, nowMillis);
        if (sentMillisBySequence.size() > MAX_PENDING_RENEWALS) {
            sentMillisBySequence.pollFirstEntry();
        }
        return sequence;
    }

    /**
     * Extends the lease by a grant. Ignores a grant while renewals are suspended, of another epoch, or for a renewal
     * that is not in flight.
     *
     * @param sequence the sequence number of the renewal that the grant answers
     * @param grantEpoch the epoch of the grant
     * @param leaseMillis duration of the lease, from the sending of the renewal
     * @param nowMillis the current time
     * @return whether the grant was accepted
     */
    public boolean onGranted(long sequence, long grantEpoch, long leaseMillis, long nowMillis) {
        Long sentMillis = sentMillisBySequence.remove(sequence);
        if (!accepting || sentMillis == null || grantEpoch != epoch) {
            return false;
        }
        leaseEndMillis = Math.max(leaseEndMillis, sentMillis + leaseMillis);
        lastGrantMillis = nowMillis;
        return true;
    }

    @Override
    public String toString() {
        return "grantor=" + grantor + " epoch=" + epoch + " accepting=" + accepting + " ended=" + ended + " leaseEnd="
                + leaseEndMillis + " boundEnd=" + outageBoundEndMillis + " sent=" + sentMillisBySequence;
    }
}
