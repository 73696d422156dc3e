package org.siskindyke.kernel.ownership;

/**
 * Consecutive numeric keys.
 *
 * @param first the first key
 * @param last the last key, included
 */
public record KeyRange(int first, int last) {
    /** Number of numeric keys of a service. */
    public static final int KEY_COUNT = 65_536;

    /** Returns the slice of a numeric key where a service has {@code slices} slices of neighbouring keys. */
    public static int sliceOf(int key, int slices) {
        return (int) ((long) key * slices / KEY_COUNT);
    }

    /** Returns the keys of a slice. */
    public static KeyRange ofSlice(int slice, int slices) {
        return new KeyRange(firstOf(slice, slices), firstOf(slice + 1, slices) - 1);
    }

    private static int firstOf(int slice, int slices) {
        return (int) (((long) slice * KEY_COUNT + slices - 1) / slices);
    }

    /** Tells whether the ranges have a key in common. */
    public boolean overlaps(int otherFirst, int otherLast) {
        return first <= otherLast && otherFirst <= last;
    }

    /** Tells whether all keys of this range lie in another. */
    public boolean isWithin(int otherFirst, int otherLast) {
        return otherFirst <= first && last <= otherLast;
    }
}
