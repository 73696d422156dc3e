package org.siskindyke.kernel.call;

/**
 * Reasons why a call gets no response from a backend server. The names appear as codes in response bodies, logs
 * and metrics.
 */
public enum Refusal {
    /** No service document or route matches the call, or the router has no routes yet. */
    NO_SERVICE(404),
    /** The call lacks the key that its service's document requires or, if matched by routes, its request id. */
    NO_KEY(400),
    /** The body is longer than the limit. */
    BODY_TOO_LARGE(413),
    /** The request is not valid HTTP. */
    MALFORMED_REQUEST(400),
    /** The body did not arrive in time. */
    REQUEST_TIMEOUT(408),
    /** The request line is longer than the limit. */
    URI_TOO_LONG(414),
    /** The header section is longer than the limit. */
    HEADERS_TOO_LARGE(431),
    /** The router has no memory for the request at present. */
    NO_MEMORY(503),
    /** The key's slice has no serving owner at present, or a call of a route to a divided service has no key. */
    NO_OWNER(503),
    /** The service has no target at present, or the call's route selects no service. */
    NO_TARGET(503),
    /** The owner's router could not be reached. */
    OWNER_UNREACHABLE(503),
    /** The router that received the call is not, or no longer, the owner of the slice. */
    NOT_OWNER(503),
    /** The owner holds no valid lease. */
    NO_LEASE(503),
    /** The owner's backend server has not been granted the slice yet, or its grant has expired. */
    NOT_GRANTED(503),

    /** The slice is being handed to another owner, or its grant ended while the call waited for a slot. */
    MOVING(503),
    /** The target's slots are in use and its queue is full, or the wait would be too long. */
    QUEUE_FULL(503),
    /** The call waited for a slot as long as its document allows, or would start too late for its deadline. */
    QUEUE_TIMEOUT(503),
    /** The target refused the call without running it. */
    TARGET_REFUSED(503),
    /** The connection to the target failed. */
    TARGET_UNREACHABLE(503),
    /** Backend servers ended while they ran the same call, or only one is left until those that ended return. */
    SUSPECTED_OF_CRASHES(503),
    /** The deadline passed. */
    DEADLINE(504),
    /** The response was incomplete or unsigned, or the connection was lost while the call was running. */
    ANSWER_LOST(502),
    /** The owner's lease expired while the call was running. */
    LEASE_LAPSED(502),
    /** An earlier call with the same Idempotency-Key is running. */
    DUPLICATE_RUNNING(409),
    /** An earlier call with the same Idempotency-Key may have run, but its response is unknown. */
    DUPLICATE_UNKNOWN(409),
    /** The router or its backend server no longer accepts calls. */
    LEAVING(503),
    /** The router is about to end, and the call held back responses to later requests on the caller's connection. */
    GIVEN_UP(502),
    /** All failure domains with servers that could serve the call are evacuated. */
    EVACUATED(503),
    /** The route's allowed regions have no server of the service, or not the owner of the key. */
    REGION_NOT_ALLOWED(503),
    /** An unexpected exception in the router. */
    INTERNAL_ERROR(500);

    private final int status;

    Refusal(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status of the response to a call that is matched by service documents. For calls of routes,
     * {@code RequestAttempts} chooses the status.
     */
    public int status() {
        return status;
    }

    /** Returns whether a retry, at the same or another router, may succeed soon. */
    public boolean isTransient() {
        return switch (this) {
            case NO_OWNER,
                    NO_TARGET,
                    OWNER_UNREACHABLE,
                    NOT_OWNER,
                    NO_LEASE,
                    NOT_GRANTED,
                    MOVING,
                    TARGET_REFUSED,
                    TARGET_UNREACHABLE,
                    ANSWER_LOST,
                    LEASE_LAPSED,
                    LEAVING -> true;
            default -> false;
        };
    }
}
