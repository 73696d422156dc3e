package org.siskindyke.kernel.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

import org.siskindyke.kernel.id.MemberId;

/**
 * Mutations that each break one rule of the lease protocol, to show that the search detects it. Most replace a lease
 * class; for the others {@link LeaseProtocolModel} breaks the rule.
 */
public enum BrokenLeases {
    /** Breaks nothing. */
    NONE(HolderLease::new, LeaseGrantor::new),
    /** The holder counts its lease from the receipt of the grant instead of from the sending of the renewal. */
    LEASE_COUNTED_FROM_ANSWER(CountsFromAnswer::new, LeaseGrantor::new),
    /** The holder accepts renewals while it replaces its grantor. */
    ACCEPTS_WHILE_REPLACING(NeverSuspends::new, LeaseGrantor::new),
    /** A grantor grants while it has no valid lease itself; done by the model. */
    GRANTS_WITHOUT_LEASE(HolderLease::new, LeaseGrantor::new),
    /** A new grantor does not wait for the end of leases that its predecessor granted. */
    NEW_GRANTOR_DOES_NOT_WAIT(HolderLease::new, DoesNotWait::new),
    /** A grantor gives up a silent grantee before its lease has ended. */
    GIVES_UP_EARLY(HolderLease::new, GivesUpEarly::new),
    /** A grantor renews the lease of a grantee that it has given up. */
    RENEWS_AFTER_GIVING_UP(HolderLease::new, RenewsAfterGivingUp::new),
    /** A member whose grantor is dead is declared dead at once; done by the model. */
    ORPHANS_DECLARED_AT_ONCE(HolderLease::new, LeaseGrantor::new);

    private final Supplier<HolderLease> newHolder;
    private final Function<LeaseSettings, LeaseGrantor> newGrantor;

    BrokenLeases(Supplier<HolderLease> holder, Function<LeaseSettings, LeaseGrantor> grantor) {
        this.newHolder = holder;
        this.newGrantor = grantor;
    }

    public HolderLease newHolder() {
        return newHolder.get();
    }

    public LeaseGrantor newGrantor(LeaseSettings settings) {
        return newGrantor.apply(settings);
    }

    private static final class CountsFromAnswer extends HolderLease {
        private final Map<Long, Long> sentMillis = new HashMap<>();

        @Override
        public long beginRenewal(long nowMillis) {
            long sequence = super.beginRenewal(nowMillis);
            sentMillis.put(sequence, nowMillis);
            return sequence;
        }

        @Override
        public boolean onGranted(long sequence, long grantEpoch, long leaseMillis, long nowMillis) {
            long roundTripMillis = nowMillis - sentMillis.getOrDefault(sequence, nowMillis);
            return super.onGranted(sequence, grantEpoch, leaseMillis + roundTripMillis, nowMillis);
        }
    }

    private static final class NeverSuspends extends HolderLease {
        @Override
        public void suspendRenewals() {
            // Does nothing on purpose, so that renewals are still accepted.
        }
    }

    private static final class DoesNotWait extends LeaseGrantor {
        private final LeaseSettings settings;

        private DoesNotWait(LeaseSettings settings) {
            super(settings);
            this.settings = settings;
        }

        @Override
        public void addGrantee(MemberId member, long epoch, long nowMillis) {
            super.addGrantee(member, epoch, nowMillis - settings.expiryTimeoutMillis());
        }
    }

    private static final class GivesUpEarly extends LeaseGrantor {
        private final LeaseSettings settings;

        private GivesUpEarly(LeaseSettings settings) {
            super(settings);
            this.settings = settings;
        }

        @Override
        public java.util.List<MemberId> giveUpExpiredGrantees(long nowMillis) {
            return super.giveUpExpiredGrantees(nowMillis + settings.marginMillis() + settings.leaseMillis() / 2);
        }
    }

    private static final class RenewsAfterGivingUp extends LeaseGrantor {
        private RenewsAfterGivingUp(LeaseSettings settings) {
            super(settings);
        }

        @Override
        public GrantDecision onRenewal(MemberId member, long epoch, long nowMillis) {
            GrantDecision decision = super.onRenewal(member, epoch, nowMillis);
            return decision == GrantDecision.GIVEN_UP ? GrantDecision.GRANTED : decision;
        }
    }
}
