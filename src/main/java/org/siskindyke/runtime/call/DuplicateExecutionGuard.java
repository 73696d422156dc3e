package org.siskindyke.runtime.call;

import java.util.OptionalLong;
import java.util.function.LongSupplier;

import org.siskindyke.kernel.call.IdempotencyKeyTimestamp;
import org.siskindyke.kernel.document.DocumentCatalog.AcceptedDocument;
import org.siskindyke.kernel.ownership.SliceOwner;
import org.siskindyke.kernel.time.MonotonicClock;

/**
 * Checks that a call with an Idempotency-Key cannot have run at an earlier owner, whose {@link
 * org.siskindyke.kernel.call.IdempotencyCache} is not known to this one.
 *
 * <p>That is certain if the caller marks the call as its first attempt, if the slice has had no earlier owner, if this
 * ownership is older than the window in which callers retry, or if the timestamp in the key is later than the start of
 * this ownership. Where the cache has evicted calls, the last of them counts as the start.
 */
final class DuplicateExecutionGuard {
    /** Allowed difference between the wall clocks of the caller and this router. */
    private static final long CLOCK_SKEW_MILLIS = 500;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final MonotonicClock clock;
    private final LongSupplier epochMillis;

    DuplicateExecutionGuard(MonotonicClock clock, LongSupplier epochMillis) {
        this.clock = clock;
        this.epochMillis = epochMillis;
    }

    /**
     * Returns whether a call whose key is not in the cache may run.
     *
     * @param evictedStartMillis start of the latest call of the slice that the cache has evicted, by the clock;
     *     {@link Long#MIN_VALUE} for none
     */
    boolean isSafeToRun(Call call, MemberServingState state, long evictedStartMillis) {
        if ("true".equals(Headers.first(call.headers(), Headers.FIRST_ATTEMPT))) {
            return true;
        }
        SliceOwner owner = state.view().ownership().owner(call.slice()).orElse(null);
        // A call whose slice has no owner is not sent: LocalDispatcher checks the ownership again right before.
        boolean hasEvicted = evictedStartMillis != Long.MIN_VALUE;
        if (owner == null || owner.generation() <= 1 && !hasEvicted) {
            return true;
        }
        long ownedMillis = clock.nowMillis() - Math.max(owner.usableFromMillis(), evictedStartMillis);
        int windowSeconds = state.view()
                .documents()
                .get(call.service())
                .map(AcceptedDocument::document)
                .map(d -> d.calls().resendWindowSeconds())
                .orElse(0);
        if (ownedMillis > windowSeconds * MILLIS_PER_SECOND) {
            return true;
        }
        OptionalLong firstSent = IdempotencyKeyTimestamp.epochMillis(call.idempotencyKey());
        long ownerSinceEpochMillis = epochMillis.getAsLong() - ownedMillis;
        return firstSent.isPresent() && firstSent.getAsLong() > ownerSinceEpochMillis + CLOCK_SKEW_MILLIS;
    }
}
