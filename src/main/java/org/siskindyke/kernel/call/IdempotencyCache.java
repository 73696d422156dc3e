package org.siskindyke.kernel.call;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.siskindyke.kernel.id.SliceRef;

/**
 * Stores the Idempotency-Keys and responses of non-idempotent calls, so that a resent call does not run twice.
 * Thread-safe.
 *
 * @param <R> the type of stored responses
 */
public final class IdempotencyCache<R> {
    /** Maximum number of keys; {@link #expire} evicts the oldest beyond it, even if their window has not ended. */
    private static final int MAX_ENTRIES = 200_000;

    private final Map<EntryKey, Entry<R>> entries = new LinkedHashMap<>();
    private final Map<SliceRef, Long> latestEvictedStartMillis = new LinkedHashMap<>();

    private record EntryKey(SliceRef slice, String key) {}

    private static final class Entry<R> {
        private final long startMillis;
        private boolean completed;
        private R answer;

        private Entry(long startMillis) {
            this.startMillis = startMillis;
        }
    }

    /**
     * What the cache knows of an earlier call with the same key.
     *
     * @param kind the state of the earlier call, which decides whether this one may run
     * @param answer the response of the earlier call for {@link Kind#ANSWERED}; null otherwise
     * @param <R> the type of stored responses
     */
    public record Lookup<R>(Kind kind, R answer) {
        /** States of the earlier call. */
        public enum Kind {
            /** There is none; this call is registered and must be completed or forgotten. */
            FIRST,
            /** It is running. */
            RUNNING,
            /** It ran; its response is returned again. */
            ANSWERED,
            /** It may have run; its response is unknown. */
            UNKNOWN
        }
    }

    /**
     * Registers a call unless its key is in the cache.
     *
     * @param slice the slice of the call's key
     * @param key the Idempotency-Key
     * @param nowMillis current time on the monotonic clock
     * @return the state of an earlier call with the same key
     */
    public synchronized Lookup<R> begin(SliceRef slice, String key, long nowMillis) {
        EntryKey entryKey = new EntryKey(slice, key);
        Entry<R> known = entries.get(entryKey);
        if (known == null) {
            entries.put(entryKey, new Entry<>(nowMillis));
            return new Lookup<>(Lookup.Kind.FIRST, null);
        }
        if (!known.completed) {
            return new Lookup<>(Lookup.Kind.RUNNING, null);
        }
        return known.answer == null
                ? new Lookup<>(Lookup.Kind.UNKNOWN, null)
                : new Lookup<>(Lookup.Kind.ANSWERED, known.answer);
    }

    /** Removes a registered call that did not run. */
    public synchronized void forget(SliceRef slice, String key) {
        entries.remove(new EntryKey(slice, key));
    }

    /**
     * Completes a registered call; has no effect if its key is no longer in the cache.
     *
     * @param slice the slice of the call's key
     * @param key the Idempotency-Key
     * @param answer the complete response; null if the call may have run but has none
     */
    public synchronized void complete(SliceRef slice, String key, R answer) {
        Entry<R> entry = entries.get(new EntryKey(slice, key));
        if (entry != null) {
            entry.completed = true;
            entry.answer = answer;
        }
    }

    /**
     * Removes the keys of calls that are older than the window, and the oldest beyond the maximum number; those of
     * calls that still run stay.
     *
     * @param oldestMillis start of the window on the monotonic clock; calls that started before are removed
     */
    public synchronized void expire(long oldestMillis) {
        Iterator<Map.Entry<EntryKey, Entry<R>>> oldest = entries.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<EntryKey, Entry<R>> entry = oldest.next();
            boolean tooMany = entries.size() > MAX_ENTRIES;
            if (!tooMany && entry.getValue().startMillis >= oldestMillis) {
                return;
            }
            if (!entry.getValue().completed) {
                continue;
            }
            if (tooMany) {
                latestEvictedStartMillis.merge(entry.getKey().slice(), entry.getValue().startMillis, Math::max);
            }
            oldest.remove();
        }
    }

    /**
     * Returns the start of the latest call of a slice that was evicted before its window ended. The cache cannot tell
     * whether calls sent before then have run, so for them the slice counts as newly owned.
     *
     * @return milliseconds of the monotonic clock; {@link Long#MIN_VALUE} if none was evicted
     */
    public synchronized long latestEvictedStartMillis(SliceRef slice) {
        return latestEvictedStartMillis.getOrDefault(slice, Long.MIN_VALUE);
    }

    /** Returns the number of stored keys. */
    public synchronized int size() {
        return entries.size();
    }
}
