package org.siskindyke.kernel.call;

/** Causes for which a call gets no answer of a backend server; each is a code in problem bodies, logs and metrics. */
public enum Refusal {
    /** No document accepts the call. */
    NO_SERVICE(404),
    /** The call lacks the key that its service's document asks for. */
    NO_KEY(400),
    /** The body is longer than accepted. */
    BODY_TOO_LARGE(413),
    /** The key's slice has no owner at present. */
    NO_OWNER(503),
    /** The service has no target at present. */
    NO_TARGET(503),
    /** The owner's router could not be reached. */
    OWNER_UNREACHABLE(503),
    /** The router asked is not, or no longer, the owner. */
    NOT_OWNER(503),
    /** The owner holds no valid lease. */
    NO_LEASE(503),
    /** The owner's backend server has not been granted the slice yet, or its grant has lapsed. */
    NOT_GRANTED(503),

    /** The slice is being handed to another owner. */
    MOVING(503),
    /** The target's slots are used and its queue is full. */
    QUEUE_FULL(503),
    /** The call waited for a slot for as long as its document allows. */
    QUEUE_TIMEOUT(503),
    /** The target refused the call without running it. */
    TARGET_REFUSED(503),
    /** The target could not be connected to. */
    TARGET_UNREACHABLE(503),
    /** The call was running at several crashes of backend servers. */
    SUSPECTED_OF_CRASHES(422),
    /** The deadline passed. */
    DEADLINE(504),
    /** The answer was cut, or the connection was lost while the call was running. */
    ANSWER_LOST(502),
    /** The owner's lease lapsed while the call was running. */
    LEASE_LAPSED(502),
    /** An earlier call with the same Idempotency-Key is running. */
    DUPLICATE_RUNNING(409),
    /** An earlier call with the same Idempotency-Key may have run and its answer is not known. */
    DUPLICATE_UNKNOWN(409),
    /** The router is leaving. */
    LEAVING(503),
    /** A defect of the router. */
    INTERNAL_ERROR(500);

    private final int status;

    Refusal(int status) {
        this.status = status;
    }

    /** Returns the HTTP status that callers see. */
    public int status() {
        return status;
    }

    /** Tells whether another attempt, at the same or another router, may succeed soon. */
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
