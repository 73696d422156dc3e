package org.siskindyke.kernel.ownership;

import com.fasterxml.jackson.databind.annotation.JsonDeserialize;
import com.fasterxml.jackson.databind.annotation.JsonSerialize;

/**
 * A slice in a {@link SliceOwnershipRow}, or a run of adjacent slices of one generation, settle time and handover;
 * written as a JSON array to keep rows short.
 *
 * @param index position of the first slice in its service
 * @param generation grows with each change of owner
 * @param settleMillis how long the owner waits, after it has read the row, before it serves the slices, because the
 *     previous owner's backend server may still process calls of them
 * @param handover data from the previous owner's backend server with which the next one starts warm; null if none
 * @param count number of slices
 */
@JsonSerialize(using = OwnedSliceJson.Writer.class)
@JsonDeserialize(using = OwnedSliceJson.Reader.class)
public record OwnedSlice(int index, long generation, long settleMillis, String handover, int count) {
    /** Bits for the changes of owner within one era of the table; the era is in the bits above. */
    private static final int GENERATION_BITS = 20;

    /** Creates a single slice with handover data. */
    public OwnedSlice(int index, long generation, long settleMillis, String handover) {
        this(index, generation, settleMillis, handover, 1);
    }

    /** Creates a single slice without handover data. */
    public OwnedSlice(int index, long generation, long settleMillis) {
        this(index, generation, settleMillis, null, 1);
    }

    /** Returns the index after that of the last slice. */
    public int end() {
        return index + count;
    }

    /** Returns the part of this run from a slice, included, to another, excluded. */
    public OwnedSlice part(int from, int to) {
        return new OwnedSlice(from, generation, settleMillis, handover, to - from);
    }

    /** Returns this run without handover data. */
    OwnedSlice withoutHandover() {
        return new OwnedSlice(index, generation, settleMillis, null, count);
    }

    /** Returns whether the slices got their generation by a change of owner in an era of the table or a later one. */
    public boolean isMovedIn(long era) {
        return generation > era << GENERATION_BITS;
    }

    /**
     * Returns the slices for their next owner, without handover data.
     *
     * @param newSettleMillis the settle time
     * @param era the present era of the table; its generations are above those of earlier eras, even where changes of
     *     owner in them are not known any more
     */
    public OwnedSlice reassigned(long newSettleMillis, long era) {
        return reassignedWithHandover(newSettleMillis, null, era);
    }

    /** Returns the slices for their next owner, with handover data; otherwise as above. */
    public OwnedSlice reassignedWithHandover(long newSettleMillis, String newHandover, long era) {
        long next = Math.max(generation, era << GENERATION_BITS) + 1;
        return new OwnedSlice(index, next, newSettleMillis, newHandover, count);
    }
}
