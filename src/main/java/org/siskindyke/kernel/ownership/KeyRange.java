package org.siskindyke.kernel.ownership;

/**
 * A range of consecutive numeric keys, which are the numbers from 0 to {@link #KEY_COUNT} - 1. {@link KeyHash} maps
 * keys that are texts.
 *
 * @param first the first key
 * @param last the last key, included
 */
public record KeyRange(int first, int last) {
    /** Number of numeric keys of a service. */
    public static final int KEY_COUNT = 65_536;

    /** Returns the zero-based index of a numeric key's slice, where each slice is a range of consecutive keys. */
    public static int sliceOf(int key, int sliceCount) {
        return (int) ((long) key * sliceCount / KEY_COUNT);
    }

    /** Returns the keys of the slice with a zero-based index. */
    public static KeyRange ofSlice(int slice, int sliceCount) {
        return new KeyRange(firstOf(slice, sliceCount), firstOf(slice + 1, sliceCount) - 1);
    }

    private static int firstOf(int slice, int sliceCount) {
        return (int) (((long) slice * KEY_COUNT + sliceCount - 1) / sliceCount);
    }

    /** Returns whether the ranges have a key in common. */
    public boolean overlaps(int otherFirst, int otherLast) {
        return first <= otherLast && otherFirst <= last;
    }

    /** Returns whether all keys of this range lie in another. */
    public boolean isWithin(int otherFirst, int otherLast) {
        return otherFirst <= first && last <= otherLast;
    }
}
