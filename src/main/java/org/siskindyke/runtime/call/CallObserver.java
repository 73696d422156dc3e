package org.siskindyke.runtime.call;

/** Observes the calls that this router sends to the backend servers beside it. Called on any thread. */
public interface CallObserver {
    /**
     * Called right before a call is sent.
     *
     * @param call the call
     * @param state the serving state of the member that sends the call
     * @param generation the generation under which the call is sent; 0 for an undivided service
     * @param leaseEndMillis end of the lease under which the call is sent, by this process's monotonic clock
     * @param nowMillis the current time, by the same clock
     */
    void onDispatch(Call call, MemberServingState state, long generation, long leaseEndMillis, long nowMillis);

    /** Called when a call has ended or its result is no longer awaited. */
    void onReply(Call call, LocalTarget target, Reply reply);
}
