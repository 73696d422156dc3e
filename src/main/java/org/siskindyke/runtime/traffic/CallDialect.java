package org.siskindyke.runtime.traffic;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Header;

/** The header fields by which callers and backend servers say what a router needs to know. */
public interface CallDialect {
    /**
     * What a caller says of its request.
     *
     * @param requestId identifies the request; null where it is missing
     * @param timeoutMillis how long the caller waits
     * @param key the key of a divided service
     */
    record CallerFields(String requestId, OptionalLong timeoutMillis, OptionalInt key) {}

    /** Reads what a caller says. */
    CallerFields read(List<Header> headers);

    /**
     * Returns the header fields to pass on, with the service beside which the request began; without those that {@link
     * #backendHeaders} sets.
     */
    List<Header> forwardedHeaders(List<Header> headers, Optional<ServiceName> callerService);

    /**
     * Returns the fields that the router beside the backend server sets.
     *
     * @param target the backend server that must run the request
     * @param call the call
     * @param remainingMillis the time left
     */
    List<Header> backendHeaders(TargetName target, Call call, long remainingMillis);

    /** Returns the fields of an answer to pass back, without {@link #requestIdField}. */
    List<Header> returnedHeaders(List<Header> headers);

    /** Tells whether an answer says that the request did not run and will not run. */
    boolean isNotRun(int status, List<Header> headers);

    /** Tells whether an answer bears what a backend server's own answers of this status bear. */
    boolean isGenuine(int status, List<Header> headers);

    /** Returns the id of the request that an answer belongs to, or null. */
    String answeredRequestId(List<Header> headers);

    /** Returns the id of the request whose run made this one, as far as its id tells. */
    Optional<String> parentRequestId(String requestId);

    /** Returns the field that names the request in a response. */
    Header requestIdField(String requestId);
}
