package org.siskindyke.kernel.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Remembers for a short time to which slices calls have arrived. In contrast to averages of ended calls it shows a
 * sudden rise within half a second, and by its arrivals instead of by what the server has run. Thread-safe.
 */
public final class RecentArrivals {
    /** Time that counts; a rate of 20 calls per second is known to about a third from it. */
    public static final long WINDOW_MILLIS = 400;
    /** Arrivals kept; above 10,000 calls per second the window becomes shorter. */
    private static final int CAPACITY = 4_096;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final int[] slices = new int[CAPACITY];
    private final long[] arrivedMillis = new long[CAPACITY];
    private int next;
    private int size;

    /** Records that a call for a slice has arrived. */
    public synchronized void onArrival(int slice, long nowMillis) {
        slices[next] = slice;
        arrivedMillis[next] = nowMillis;
        next = (next + 1) % CAPACITY;
        size = Math.min(size + 1, CAPACITY);
    }

    /** Returns the calls per second that have arrived within the window. */
    public synchronized double callsPerSecond(long nowMillis) {
        expire(nowMillis);
        return size * perArrival(nowMillis);
    }

    /** Returns the calls per second for each slice to which calls have arrived within the window, by index. */
    public synchronized List<SliceLoad> sliceLoads(long nowMillis) {
        expire(nowMillis);
        double perArrival = perArrival(nowMillis);
        Map<Integer, Integer> counts = new TreeMap<>();
        for (int i = 0; i < size; i++) {
            counts.merge(slices[oldest(i)], 1, Integer::sum);
        }
        List<SliceLoad> loads = new ArrayList<>(counts.size());
        counts.forEach((slice, count) -> loads.add(new SliceLoad(slice, count * perArrival)));
        return loads;
    }

    private void expire(long nowMillis) {
        while (size > 0 && arrivedMillis[oldest(0)] <= nowMillis - WINDOW_MILLIS) {
            size--;
        }
    }

    private int oldest(int offset) {
        return Math.floorMod(next - size + offset, CAPACITY);
    }

    private double perArrival(long nowMillis) {
        long coveredMillis = size < CAPACITY ? WINDOW_MILLIS : Math.max(1, nowMillis - arrivedMillis[oldest(0)]);
        return MILLIS_PER_SECOND / coveredMillis;
    }
}
