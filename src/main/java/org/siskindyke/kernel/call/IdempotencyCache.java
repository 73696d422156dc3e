package org.siskindyke.kernel.call;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.siskindyke.kernel.id.SliceRef;

/**
 * Remembers the Idempotency-Keys of non-idempotent calls, so that a resend never runs a second time.
 *
 * @param <R> the type of remembered answers; safe for use by several threads
 */
public final class IdempotencyCache<R> {
    /** Most keys remembered; beyond it the oldest are forgotten and their slices count as newly owned. */
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
     * What is known of an earlier call.
     *
     * @param kind whether the call may run
     * @param answer the earlier answer for {@link Kind#ANSWERED}; null otherwise
     * @param <R> the type of answers
     */
    public record Lookup<R>(Kind kind, R answer) {
        /** Kinds of findings. */
        public enum Kind {
            /** No earlier call; this one is registered and must be ended. */
            FIRST,
            /** An earlier call is running. */
            RUNNING,
            /** An earlier call ran; its answer is given again. */
            ANSWERED,
            /** An earlier call may have run; its answer is not known. */
            UNKNOWN
        }
    }

    /**
     * Registers a call unless its key is known.
     *
     * @param slice the slice of the call's key
     * @param key the Idempotency-Key
     * @param nowMillis the present
     * @return what is known
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

    /** Forgets a registered call that did not run. */
    public synchronized void forget(SliceRef slice, String key) {
        entries.remove(new EntryKey(slice, key));
    }

    /**
     * Ends a registered call.
     *
     * @param slice the slice of the call's key
     * @param key the Idempotency-Key
     * @param answer the whole answer; null where the call may have run without one
     */
    public synchronized void complete(SliceRef slice, String key, R answer) {
        Entry<R> entry = entries.get(new EntryKey(slice, key));
        if (entry != null) {
            entry.completed = true;
            entry.answer = answer;
        }
    }

    /**
     * Drops keys that are older than the window.
     *
     * @param oldestMillis calls that started before are dropped
     */
    public synchronized void expire(long oldestMillis) {
        Iterator<Map.Entry<EntryKey, Entry<R>>> oldest = entries.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<EntryKey, Entry<R>> entry = oldest.next();
            boolean tooMany = entries.size() > MAX_ENTRIES;
            if (!tooMany && entry.getValue().startMillis >= oldestMillis) {
                return;
            }
            if (tooMany) {
                latestEvictedStartMillis.merge(entry.getKey().slice(), entry.getValue().startMillis, Math::max);
            }
            oldest.remove();
        }
    }

    /**
     * Returns the start of the latest call of a slice that was forgotten before its window ended.
     *
     * @return milliseconds of the monotonic clock; {@link Long#MIN_VALUE} where none was forgotten
     */
    public synchronized long latestEvictedStartMillis(SliceRef slice) {
        return latestEvictedStartMillis.getOrDefault(slice, Long.MIN_VALUE);
    }

    /** Returns the number of keys remembered. */
    public synchronized int size() {
        return entries.size();
    }
}
