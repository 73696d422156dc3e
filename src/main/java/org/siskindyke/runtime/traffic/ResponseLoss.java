package org.siskindyke.runtime.traffic;

/** Ways in which a request gets no response. */
enum ResponseLoss {
    /** The request did not reach the server. */
    NOT_SENT,
    /** The request was not sent, since all connections that the server accepts carry other requests. */
    NO_CONNECTION_FREE,
    /** The connection ended before any byte of the response. */
    CONNECTION_LOST,
    /** The connection ended amid the response. */
    TRUNCATED,
    /** The server sent a malformed or too long response. */
    BAD_RESPONSE;

    /** Returns whether the server may have ended; one that sends a malformed response has not. */
    boolean isConnectionEnd() {
        return this == CONNECTION_LOST || this == TRUNCATED;
    }
}
