package org.siskindyke.kernel.ownership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * A slice in a {@link SliceOwnershipRow}; written as a JSON array to keep rows short.
 *
 * @param index position of the slice in its service
 * @param generation grows with each change of owner
 * @param settleMillis how long the owner waits, after it has read the row, before it serves the slice, because the
 *     previous owner's backend server may still process calls of it
 * @param handover data from the previous owner's backend server with which the next one starts warm; null if none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"index", "generation", "settleMillis", "handover"})
public record OwnedSlice(int index, long generation, long settleMillis, String handover) {
    /** Bits for the changes of owner within one era of the table; the era is in the bits above. */
    private static final int GENERATION_BITS = 20;

    /** Creates a slice without handover data. */
    public OwnedSlice(int index, long generation, long settleMillis) {
        this(index, generation, settleMillis, null);
    }

    /** Returns whether the slice got its generation by a change of owner in an era of the table or a later one. */
    public boolean isMovedIn(long era) {
        return generation > era << GENERATION_BITS;
    }

    /**
     * Returns the slice for its next owner, without handover data.
     *
     * @param newSettleMillis the settle time
     * @param era the present era of the table; its generations are above those of earlier eras, even where changes of
     *     owner in them are not known any more
     */
    public OwnedSlice reassigned(long newSettleMillis, long era) {
        return reassignedWithHandover(newSettleMillis, null, era);
    }

    /** Returns the slice for its next owner, with handover data; otherwise as above. */
    public OwnedSlice reassignedWithHandover(long newSettleMillis, String newHandover, long era) {
        long next = Math.max(generation, era << GENERATION_BITS) + 1;
        return new OwnedSlice(index, next, newSettleMillis, newHandover);
    }
}
