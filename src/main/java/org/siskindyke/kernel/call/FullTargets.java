package org.siskindyke.kernel.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.siskindyke.kernel.id.MemberId;

/**
 * Remembers which targets have refused calls of a kind for lack of capacity, and until when, so that a router that
 * knows all of them to be full refuses further calls without sending them. Confined to one thread; times are on the
 * monotonic clock, in milliseconds.
 */
public final class FullTargets {
    /** Longest time that a refusal counts; capacity may be free sooner than expected. */
    private static final long MAX_KNOWN_MILLIS = 250;
    /** Maximum number of kinds, to bound memory; further kinds are never known to be refused. */
    private static final int MAX_KINDS = 1_000;

    private final Map<String, Map<MemberId, Long>> untilByKind = new HashMap<>();

    /**
     * Records a refusal for lack of capacity.
     *
     * @param kind the kind of the refused call
     * @param member the member whose target refused it
     * @param retryAfterMillis delay after which the target expects to have capacity
     * @param nowMillis the present time
     */
    public void onFull(String kind, MemberId member, long retryAfterMillis, long nowMillis) {
        if (untilByKind.size() < MAX_KINDS || untilByKind.containsKey(kind)) {
            untilByKind
                    .computeIfAbsent(kind, k -> new HashMap<>())
                    .put(member, nowMillis + Math.min(MAX_KNOWN_MILLIS, retryAfterMillis));
        }
    }

    /** Records that a target has run a call of a kind. */
    public void onRun(String kind, MemberId member) {
        Map<MemberId, Long> until = untilByKind.get(kind);
        if (until != null) {
            until.remove(member);
        }
    }

    /**
     * Returns for how long all of the targets are known to be full.
     *
     * @param kind the kind of a call
     * @param members returns the members whose targets the call could be sent to; called only where one is known to be
     *     full
     * @param nowMillis the present time
     * @return the time until the first of them expects to have capacity; 0 where one of them may have capacity
     */
    public long fullForMillis(String kind, Supplier<List<MemberId>> members, long nowMillis) {
        Map<MemberId, Long> untilByMember = untilByKind.get(kind);
        if (untilByMember == null) {
            return 0;
        }
        untilByMember.values().removeIf(until -> until <= nowMillis);
        if (untilByMember.isEmpty()) {
            return 0;
        }
        long firstMillis = Long.MAX_VALUE;
        for (MemberId member : members.get()) {
            Long until = untilByMember.get(member);
            if (until == null) {
                return 0;
            }
            firstMillis = Math.min(firstMillis, until);
        }
        return firstMillis == Long.MAX_VALUE ? 0 : firstMillis - nowMillis;
    }
}
