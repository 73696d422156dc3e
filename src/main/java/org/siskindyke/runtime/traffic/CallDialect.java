package org.siskindyke.runtime.traffic;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.siskindyke.kernel.balance.ServerLoadTracker;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Header;

/** Defines the header fields that routers exchange with callers and backend servers. */
public interface CallDialect extends ResponseDialect {
    /**
     * The fields that a caller sets on its request.
     *
     * @param requestId the id of the request; null where it is missing
     * @param timeoutMillis how long the caller waits, in milliseconds; empty where it is missing or invalid
     * @param key the key for a divided service; empty where it is missing or invalid
     */
    record CallerFields(String requestId, OptionalLong timeoutMillis, OptionalInt key) {}

    /** Reads the fields that a caller has set. */
    CallerFields read(List<Header> headers);

    /**
     * Returns the header fields to forward with a request: the caller's without those that {@link #backendHeaders}
     * sets, and one that names the service from which the request comes.
     *
     * @param headers the caller's fields
     * @param callerService the service of the backend server beside the router that received the request from its
     *     caller; empty to name none
     */
    List<Header> forwardedHeaders(List<Header> headers, Optional<ServiceName> callerService);

    /**
     * Returns the fields that the router beside the backend server sets on a request.
     *
     * @param target the name of the backend server that must run the request
     * @param call the call
     * @param remainingMillis the time left until the call's deadline, in milliseconds
     */
    List<Header> backendHeaders(TargetName target, Call call, long remainingMillis);

    /** Returns the fields of a response to return to the caller, without {@link #requestIdField}. */
    List<Header> returnedHeaders(List<Header> headers);

    /** Returns the limit on requests that a response names; the lowest where it names several. */
    AnnouncedLimit limit(List<Header> headers);

    /** Returns the load that the backend server announces in a response; null where that is missing or malformed. */
    ServerLoadTracker.Announcement serverLoad(List<Header> headers);

    /** Returns whether a response says that its backend server is about to leave. */
    boolean isLeaving(List<Header> headers);

    /** Returns the id of the request that made this one while it ran; empty where this one's id names none. */
    Optional<String> parentRequestId(String requestId);
}
