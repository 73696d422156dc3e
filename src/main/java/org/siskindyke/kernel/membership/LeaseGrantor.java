package org.siskindyke.kernel.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.siskindyke.kernel.id.MemberId;

/**
 * The grantor's side of the leases of its grantees, the members whose rows name it as grantor.
 *
 * <p>A grantee from which no renewal arrives for the duration of a lease plus the margin is given up and not renewed
 * again in its epoch; only then may the grantor declare it dead. Not thread-safe.
 */
public class LeaseGrantor {
    private final LeaseSettings settings;
    private final Map<MemberId, Grantee> grantees = new HashMap<>();
    private boolean closed;

    /** Creates a grantor without grantees. */
    public LeaseGrantor(LeaseSettings settings) {
        this.settings = settings;
    }

    /** Returns the number of grantees. */
    public int granteeCount() {
        return grantees.size();
    }

    /** Returns whether a member is a grantee of this grantor. */
    public boolean hasGrantee(MemberId member) {
        return grantees.containsKey(member);
    }

    /** Stops all granting permanently. */
    public void close() {
        closed = true;
    }

    /**
     * Adds a member whose row names this grantor. Does nothing if this or a later epoch is known. In a new epoch,
     * another grantor may have renewed the lease until now, so the expiry timeout starts now.
     *
     * @param member the member
     * @param epoch the row's epoch
     * @param nowMillis the current time
     */
    public void addGrantee(MemberId member, long epoch, long nowMillis) {
        Grantee known = grantees.get(member);
        if (known == null || known.epoch < epoch) {
            grantees.put(member, new Grantee(epoch, nowMillis + settings.expiryTimeoutMillis()));
        }
    }

    /** Removes a member whose row names another grantor or says that it is dead. */
    public void removeGrantee(MemberId member) {
        grantees.remove(member);
    }

    /**
     * Decides on a renewal. The caller must have checked that this grantor has a valid lease itself.
     *
     * @param member the member that requests the renewal
     * @param epoch the epoch of the request
     * @param nowMillis the current time
     * @return the decision
     */
    public GrantDecision onRenewal(MemberId member, long epoch, long nowMillis) {
        if (closed) {
            return GrantDecision.CLOSED;
        }
        Grantee grantee = grantees.get(member);
        if (grantee == null || grantee.epoch < epoch) {
            return GrantDecision.UNKNOWN_EPOCH;
        }
        if (grantee.epoch > epoch || grantee.givenUp) {
            return GrantDecision.GIVEN_UP;
        }
        grantee.expiryMillis = nowMillis + settings.expiryTimeoutMillis();
        return GrantDecision.GRANTED;
    }

    /** Restarts the expiry timeout of a member that requested a renewal while this grantor could not grant. */
    public void postponeExpiry(MemberId member, long nowMillis) {
        Grantee grantee = grantees.get(member);
        if (grantee != null) {
            grantee.expiryMillis = Math.max(grantee.expiryMillis, nowMillis + settings.expiryTimeoutMillis());
        }
    }

    /** Restarts all expiry timeouts; called after this process was not running for a while. */
    public void postponeAllExpiries(long nowMillis) {
        for (Grantee grantee : grantees.values()) {
            grantee.expiryMillis = Math.max(grantee.expiryMillis, nowMillis + settings.expiryTimeoutMillis());
        }
    }

    /**
     * Gives up the grantees whose expiry timeout has passed and returns all that are given up, earlier ones included.
     *
     * @param nowMillis the current time
     * @return members that may be declared dead
     */
    public List<MemberId> giveUpExpiredGrantees(long nowMillis) {
        List<MemberId> expired = new ArrayList<>();
        grantees.forEach((member, grantee) -> {
            if (grantee.givenUp || nowMillis >= grantee.expiryMillis) {
                grantee.givenUp = true;
                expired.add(member);
            }
        });
        return expired;
    }

    @Override
    public String toString() {
        return "closed=" + closed + " grantees=" + new TreeMap<>(grantees);
    }

    private static final class Grantee {
        private final long epoch;
        private long expiryMillis;
        private boolean givenUp;

        private Grantee(long epoch, long expiryMillis) {
            this.epoch = epoch;
            this.expiryMillis = expiryMillis;
        }

        @Override
        public String toString() {
            return "epoch=" + epoch + " expiry=" + expiryMillis + " givenUp=" + givenUp;
        }
    }
}
