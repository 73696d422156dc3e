package org.siskindyke.runtime.traffic;

/** Ways in which a request gets no response. */
enum ResponseLoss {
    /** The request did not reach the server. */
    NOT_SENT,
    /** The connection ended before the header section of the response. */
    CONNECTION_LOST,
    /** The response was malformed, too long, or not complete when the connection ended. */
    BAD_RESPONSE;

    /** Returns whether the request may have reached the server. */
    boolean isSent() {
        return this != NOT_SENT;
    }
}
