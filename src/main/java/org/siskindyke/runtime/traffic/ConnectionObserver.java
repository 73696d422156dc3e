package org.siskindyke.runtime.traffic;

/** Receives what connections to a server show beyond the outcome of one request. Confined to the traffic loop. */
interface ConnectionObserver {
    /** Ignores all events. */
    ConnectionObserver NONE = new ConnectionObserver() {};

    /**
     * A connection at the moment of an event.
     *
     * @param number the connection's number among those of its pool
     * @param requests the number of requests that it has carried, the present one included
     * @param lastRequestId the id of the last of them; null where it has none
     */
    record Connection(long number, int requests, String lastRequestId) {}

    /**
     * Called when a response is dropped, since it names another request than the awaited one or none.
     *
     * @param connection the connection, whose last request is the awaited one
     * @param namedRequestId the id that the response names; null for none
     * @param status the status of the response
     */
    default void onResponseDropped(Connection connection, String namedRequestId, int status) {}

    /** Called when bytes arrive while no request waits for a response, which closes the connection. */
    default void onStrayBytes(Connection connection) {}

    /**
     * Called when a request is sent over another connection than the one used last, since that one may have carried it.
     *
     * @param requestId the id of the request
     * @param passedOver the number of idle connections that may have carried it
     */
    default void onConnectionsPassedOver(String requestId, int passedOver) {}
}
