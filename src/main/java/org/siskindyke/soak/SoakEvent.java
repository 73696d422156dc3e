package org.siskindyke.soak;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.siskindyke.standin.HeartbeatBackendStandin.GrantedRange;

/**
 * An event that a process of a soak observed, written as one JSON line. Times are milliseconds of the host's
 * monotonic clock, which all processes share.
 *
 * @param atMillis time of the event
 * @param what kind of the event
 * @param who the backend server, router address or other part of the soak that the event concerns
 * @param requestId id of the request, or null
 * @param attempt number of the caller's attempt of the request, from 0
 * @param run signature of the run that the event concerns or an answer names, or null
 * @param key key of the request; -1 for none
 * @param token fencing token with which the request ran; -1 for none
 * @param status HTTP status of an answer; 0 if the connection failed
 * @param detail further information, such as the route or how an answer differs from the expected one; or null
 * @param rows key ranges granted to a backend server, or null
 * @param untilMillis end of the grant of these key ranges
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record SoakEvent(
        long atMillis,
        What what,
        String who,
        String requestId,
        int attempt,
        String run,
        int key,
        long token,
        int status,
        String detail,
        List<GrantedRange> rows,
        long untilMillis) {
    /** Detail of a fault: the process of a backend server has ended, which ends its grants. */
    static final String TARGET_DOWN = "target down";

    /** Detail of a response that lacks its signature. */
    static final String UNSIGNED = "unsigned";

    /** Kind of an event. */
    public enum What {
        /** A backend server started to run a request. */
        RUN,
        /** A backend server answers a run; the detail says if the response lacks its signature. */
        RESPONDED,
        /** A backend server received a grant of key ranges. */
        HOLDS,
        /** A backend server received the acknowledgement that it is leaving. */
        LEAVING,
        /** A caller sent a request. */
        ASKED,
        /** A caller received an answer, or its connection failed. */
        ANSWERED,
        /** A caller closed its connection before it received the answer to a request. */
        LEFT,
        /** A backend server names a limit from now on; the detail is the limit, 0 for none. */
        LIMITED,
        /** A configuration was written; the detail is its version. */
        CONFIGURED,
        /** A failure domain is evacuated from now on; the detail names its instances, or is empty at the end. */
        EVACUATED,
        /** A router was told to stop; the event names its instance. */
        STOPPING,
        /** A router that was told to stop has ended. */
        STOPPED,
        /** A fault began; the detail is its name. */
        FAULT,
        /** A fault ended. */
        MENDED
    }

    static SoakEvent run(long atMillis, String who, String requestId, String run, int key, long token) {
        return new SoakEvent(atMillis, What.RUN, who, requestId, 0, run, key, token, 0, null, null, 0);
    }

    static SoakEvent responded(long atMillis, String who, String requestId, String run, int status, boolean signed) {
        String detail = signed ? null : UNSIGNED;
        return new SoakEvent(atMillis, What.RESPONDED, who, requestId, 0, run, -1, -1, status, detail, null, 0);
    }

    static SoakEvent holds(long atMillis, String who, List<GrantedRange> rows, long untilMillis) {
        return new SoakEvent(atMillis, What.HOLDS, who, null, 0, null, -1, -1, 0, null, rows, untilMillis);
    }

    static SoakEvent asked(long atMillis, String who, String requestId, int attempt, int key, String route) {
        return new SoakEvent(atMillis, What.ASKED, who, requestId, attempt, null, key, -1, 0, route, null, 0);
    }

    /** Returns an answer; {@code run} is the signature that it bears, {@code wrong} how it is not whole or right. */
    static SoakEvent answered(
            long atMillis, String who, String requestId, int attempt, String run, int status, String wrong) {
        return new SoakEvent(atMillis, What.ANSWERED, who, requestId, attempt, run, -1, -1, status, wrong, null, 0);
    }

    static SoakEvent left(long atMillis, String who, String requestId, int attempt) {
        return new SoakEvent(atMillis, What.LEFT, who, requestId, attempt, null, -1, -1, 0, null, null, 0);
    }

    static SoakEvent crashed(long atMillis, String who, String requestId) {
        return new SoakEvent(atMillis, What.FAULT, who, requestId, 0, null, -1, -1, 0, TARGET_DOWN, null, 0);
    }

    static SoakEvent of(long atMillis, What what, String who, String detail) {
        return new SoakEvent(atMillis, what, who, null, 0, null, -1, -1, 0, detail, null, 0);
    }
}
