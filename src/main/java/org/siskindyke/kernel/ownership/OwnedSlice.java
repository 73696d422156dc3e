package org.siskindyke.kernel.ownership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * One slice in a holding; written as an array to keep rows short.
 *
 * @param index position of the slice in its service
 * @param generation grows by one with each change of owner
 * @param settleMillis how long the owner waits, from learning of the slice, before it serves it
 * @param handover what the last holder's backend server left for the next to start warm; null for nothing
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"index", "generation", "settleMillis", "handover"})
public record OwnedSlice(int index, long generation, long settleMillis, String handover) {
    /** Creates a slice that comes without a handover. */
    public OwnedSlice(int index, long generation, long settleMillis) {
        this(index, generation, settleMillis, null);
    }

    /** Returns the slice as its next owner holds it. */
    public OwnedSlice reassigned(long newSettleMillis) {
        return new OwnedSlice(index, generation + 1, newSettleMillis);
    }

    /** Returns the slice as its next owner holds it, with what the last backend server left for the next. */
    public OwnedSlice reassignedWithHandover(long newSettleMillis, String newHandover) {
        return new OwnedSlice(index, generation + 1, newSettleMillis, newHandover);
    }
}
