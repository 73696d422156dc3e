package org.siskindyke.kernel.ownership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * A slice in a {@link SliceOwnershipRow}; written as a JSON array to keep rows short.
 *
 * @param index position of the slice in its service
 * @param generation incremented with each change of owner
 * @param settleMillis how long the owner waits, after it has read the row, before it serves the slice, because the
 *     previous owner's backend server may still process calls of it
 * @param handover data from the previous owner's backend server with which the next one starts warm; null if none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"index", "generation", "settleMillis", "handover"})
public record OwnedSlice(int index, long generation, long settleMillis, String handover) {
    /** Creates a slice without handover data. */
    public OwnedSlice(int index, long generation, long settleMillis) {
        this(index, generation, settleMillis, null);
    }

    /** Returns the slice for its next owner, in the next generation and without handover data. */
    public OwnedSlice reassigned(long newSettleMillis) {
        return new OwnedSlice(index, generation + 1, newSettleMillis);
    }

    /** Returns the slice for its next owner, in the next generation and with handover data. */
    public OwnedSlice reassignedWithHandover(long newSettleMillis, String newHandover) {
        return new OwnedSlice(index, generation + 1, newSettleMillis, newHandover);
    }
}
