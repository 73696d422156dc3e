package org.siskindyke.kernel.membership;

import java.util.TreeMap;

import org.siskindyke.kernel.id.MemberId;

/**
 * The lease of a member as the member itself counts it: from the moment that a renewal was sent.
 *
 * <p>While the member replaces its grantor it accepts no renewals, because the new grantor only waits out what was
 * granted before its appointment.
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
    private long boundEndMillis = Long.MIN_VALUE;
    private long lastGrantMillis = Long.MIN_VALUE;

    /** Returns the recorded grantor; null before the member has joined. */
    public MemberId grantor() {
        return grantor;
    }

    /** Returns the epoch of the recorded grantor. */
    public long epoch() {
        return epoch;
    }

    /** Returns the end of the lease by the member's own clock, in milliseconds. */
    public long leaseEndMillis() {
        return ended ? Long.MIN_VALUE : Math.min(leaseEndMillis, boundEndMillis);
    }

    /** Returns when the last renewal was accepted, in milliseconds. */
    public long lastGrantMillis() {
        return lastGrantMillis;
    }

    /** Tells whether renewals are accepted at present. */
    public boolean isAcceptingRenewals() {
        return accepting;
    }

    /** Tells whether the member may serve. */
    public boolean isValid(long nowMillis) {
        return nowMillis < leaseEndMillis();
    }

    /**
     * Takes over a grantor that the table is known to record.
     *
     * @param newGrantor the grantor
     * @param newEpoch its epoch
     * @param nowMillis the present, from which its silence counts
     */
    public void setGrantor(MemberId newGrantor, long newEpoch, long nowMillis) {
        grantor = newGrantor;
        epoch = newEpoch;
        accepting = true;
        lastGrantMillis = nowMillis;
        sentMillisBySequence.clear();
    }

    /**
     * Lets the member serve without reaching the table for longer.
     *
     * @param endMillis when the member stops unless the table was reached again
     */
    public void extendOutageBound(long endMillis) {
        boundEndMillis = Math.max(boundEndMillis, endMillis);
    }

    /** Stops accepting renewals; called before a replacement of the grantor is written. */
    public void suspendRenewals() {
        accepting = false;
    }

    /** Accepts renewals again; called once a replacement is known not to have taken effect. */
    public void resumeRenewals() {
        accepting = !ended;
    }

    /** Ends the present lease, and voids renewals under way, because time may have passed that the clock missed. */
    public void invalidate() {
        leaseEndMillis = Long.MIN_VALUE;
        sentMillisBySequence.clear();
    }

    /** Ends the lease for good. */
    public void end() {
        ended = true;
        accepting = false;
    }

    /**
     * Registers a renewal that is about to be sent.
     *
     * @param nowMillis the moment of sending
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
     * Accepts a grant.
     *
     * @param sequence the renewal it answers
     * @param grantEpoch the epoch it was granted for
     * @param leaseMillis its duration
     * @param nowMillis the present
     * @return whether it counted
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
                + leaseEndMillis + " boundEnd=" + boundEndMillis + " sent=" + sentMillisBySequence;
    }
}
