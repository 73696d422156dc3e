package org.siskindyke.kernel.call;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the requests that were refused with a {@code Retry-After}, to recognize callers that return when they were
 * told to. Confined to one thread; times are on the monotonic clock, in milliseconds.
 */
public final class ExpectedReturns {
    /** How much too early a caller may return, as clocks and timers vary. */
    private static final long EARLY_TOLERANCE_MILLIS = 20;
    /** How much too late a caller may return; afterwards its objective has passed in any case. */
    private static final long LATE_TOLERANCE_MILLIS = 2_000;

    private final int maxRequests;
    private final Map<String, Refused> refusedById = new LinkedHashMap<>();

    private record Refused(long firstMillis, long dueMillis) {}

    /**
     * A request that was refused before.
     *
     * @param firstMillis when its first attempt arrived
     * @param punctual whether its caller returns when it was told to
     */
    public record Return(long firstMillis, boolean punctual) {}

    /**
     * Creates an empty memory.
     *
     * @param maxRequests requests to remember at most; beyond them the earliest refused one is forgotten; 0 for none
     */
    public ExpectedReturns(int maxRequests) {
        this.maxRequests = maxRequests;
    }

    /** Records a refusal. */
    public void onRefused(String requestId, long firstMillis, long retryAfterMillis, long nowMillis) {
        refusedById.remove(requestId);
        refusedById.put(requestId, new Refused(firstMillis, nowMillis + retryAfterMillis));
        if (refusedById.size() > maxRequests) {
            refusedById.remove(refusedById.keySet().iterator().next());
        }
    }

    /** Returns what is known of a request that arrives, and forgets it; empty where it was not refused lately. */
    public Optional<Return> onArrival(String requestId, long nowMillis) {
        Refused refused = refusedById.remove(requestId);
        if (refused == null || nowMillis > refused.dueMillis + LATE_TOLERANCE_MILLIS) {
            return Optional.empty();
        }
        return Optional.of(new Return(refused.firstMillis, nowMillis >= refused.dueMillis - EARLY_TOLERANCE_MILLIS));
    }
}
