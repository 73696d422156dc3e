package org.siskindyke.runtime.call;

/** Learns what happens to calls at the backend servers beside this router. */
public interface CallObserver {
    /**
     * A call is about to be sent.
     *
     * @param call the call
     * @param state the member's state
     * @param generation the generation it is sent under; 0 for an undivided service
     * @param leaseEndMillis the end of the lease it is sent under
     * @param nowMillis the present
     */
    void onDispatch(Call call, MemberServingState state, long generation, long leaseEndMillis, long nowMillis);

    /** A call has ended, or was given up. */
    void onReply(Call call, LocalTarget target, Reply reply);
}
