package org.siskindyke.kernel.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.siskindyke.kernel.id.MemberId;

/**
 * The grantor's side of the leases of the members that record it.
 *
 * <p>A charge that stays silent for the lease and margin is given up for good in its epoch; only then may it be
 * declared
 * dead.
 */
public class LeaseGrantor {
    private final LeaseSettings settings;
    private final Map<MemberId, Charge> charges = new HashMap<>();
    private boolean closed;

    /** Creates a grantor without charges. */
    public LeaseGrantor(LeaseSettings settings) {
        this.settings = settings;
    }

    /** Returns the number of members that record this grantor. */
    public int granteeCount() {
        return charges.size();
    }

    /** Tells whether a member records this grantor. */
    public boolean hasGrantee(MemberId member) {
        return charges.containsKey(member);
    }

    /** Stops granting to anyone, for good. */
    public void close() {
        closed = true;
    }

    /**
     * Records that a member's row names this grantor. A new epoch is assumed to have been granted until now.
     *
     * @param member the member
     * @param epoch the row's epoch
     * @param nowMillis the present
     */
    public void addGrantee(MemberId member, long epoch, long nowMillis) {
        Charge known = charges.get(member);
        if (known == null || known.epoch < epoch) {
            charges.put(member, new Charge(epoch, nowMillis + settings.expiryTimeoutMillis()));
        }
    }

    /** Forgets a member whose row names another grantor or says that it is dead. */
    public void removeGrantee(MemberId member) {
        charges.remove(member);
    }

    /**
     * Decides on a renewal. The caller has checked that this grantor holds a lease itself.
     *
     * @param member the member that asks
     * @param epoch the epoch it asks for
     * @param nowMillis the present
     * @return the decision
     */
    public GrantDecision onRenewal(MemberId member, long epoch, long nowMillis) {
        if (closed) {
            return GrantDecision.CLOSED;
        }
        Charge charge = charges.get(member);
        if (charge == null || charge.epoch < epoch) {
            return GrantDecision.UNKNOWN_EPOCH;
        }
        if (charge.epoch > epoch || charge.givenUp) {
            return GrantDecision.GIVEN_UP;
        }
        charge.expiryMillis = nowMillis + settings.expiryTimeoutMillis();
        return GrantDecision.GRANTED;
    }

    /** Restarts the wait for a member that asked while this grantor could not grant. */
    public void postponeExpiry(MemberId member, long nowMillis) {
        Charge charge = charges.get(member);
        if (charge != null) {
            charge.expiryMillis = Math.max(charge.expiryMillis, nowMillis + settings.expiryTimeoutMillis());
        }
    }

    /** Restarts all waits after this process was not running. */
    public void postponeAllExpiries(long nowMillis) {
        for (Charge charge : charges.values()) {
            charge.expiryMillis = Math.max(charge.expiryMillis, nowMillis + settings.expiryTimeoutMillis());
        }
    }

    /**
     * Gives up the charges whose lease and margin have run out and returns all that are given up.
     *
     * @param nowMillis the present
     * @return members that may be declared dead
     */
    public List<MemberId> expiredGrantees(long nowMillis) {
        List<MemberId> expired = new ArrayList<>();
        charges.forEach((member, charge) -> {
            if (charge.givenUp || nowMillis >= charge.expiryMillis) {
                charge.givenUp = true;
                expired.add(member);
            }
        });
        return expired;
    }

    @Override
    public String toString() {
        return "closed=" + closed + " charges=" + new TreeMap<>(charges);
    }

    private static final class Charge {
        private final long epoch;
        private long expiryMillis;
        private boolean givenUp;

        private Charge(long epoch, long expiryMillis) {
            this.epoch = epoch;
            this.expiryMillis = expiryMillis;
        }

        @Override
        public String toString() {
            return "epoch=" + epoch + " expiry=" + expiryMillis + " givenUp=" + givenUp;
        }
    }
}
