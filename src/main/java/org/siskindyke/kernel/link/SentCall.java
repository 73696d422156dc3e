package org.siskindyke.kernel.link;

/** A call in the record of its sender, {@link SentCalls}. */
public abstract class SentCall {
    /** 0 until the call is sent for the first time. */
    long id;
    /** The number of the connection that the call was last sent on; 0 where it is known not to have arrived. */
    int connection;
    /** The number of the connection that the call was sent on, or on which the receiver said that it has arrived. */
    int confirmedOn;

    /** Returns the id, which is the same each time the call is sent; 0 before the first time. */
    public final long id() {
        return id;
    }

    /** Returns whether the receiver may have the call. */
    public final boolean mayHaveArrived() {
        return connection != 0;
    }

    /** Returns whether the call outlives its connection. Others are forgotten with the connection. */
    protected abstract boolean isKept();
}
