package org.siskindyke.soak;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.siskindyke.standin.HeartbeatBackendStandin.GrantedRange;

/**
 * Something that a process of a soak saw; one JSON line each. Times are milliseconds of the host's monotonic clock,
 * which all processes share.
 *
 * @param atMillis when
 * @param what what it is
 * @param who the backend server or the router that it concerns
 * @param requestId the request, or null
 * @param key the request's key; -1 for none
 * @param token the fencing token of the key; -1 for none
 * @param status status of an answer; 0 where the connection failed
 * @param detail more of it, such as a route or what is wrong with an answer; or null
 * @param rows what a backend server holds, or null
 * @param untilMillis until when it holds them
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record SoakEvent(
        long atMillis,
        What what,
        String who,
        String requestId,
        int key,
        long token,
        int status,
        String detail,
        List<GrantedRange> rows,
        long untilMillis) {
    /** Detail of a fault: a backend server's process has ended, so that it holds nothing. */
    static final String TARGET_DOWN = "target down";

    /** Kinds of events. */
    public enum What {
        /** A backend server began to run a request. */
        RUN,
        /** A backend server was told what to hold. */
        HOLDS,
        /** A backend server has the acknowledgement that it leaves. */
        LEAVING,
        /** A caller sent a request. */
        ASKED,
        /** A caller has an answer, or its connection failed. */
        ANSWERED,
        /** A configuration was written; the detail is its version. */
        CONFIGURED,
        /** A fault began; the detail names it. */
        FAULT,
        /** A fault ended. */
        MENDED
    }

    static SoakEvent run(long atMillis, String who, String requestId, int key, long token) {
        return new SoakEvent(atMillis, What.RUN, who, requestId, key, token, 0, null, null, 0);
    }

    static SoakEvent holds(long atMillis, String who, List<GrantedRange> rows, long untilMillis) {
        return new SoakEvent(atMillis, What.HOLDS, who, null, -1, -1, 0, null, rows, untilMillis);
    }

    static SoakEvent asked(long atMillis, String who, String requestId, int key, String route) {
        return new SoakEvent(atMillis, What.ASKED, who, requestId, key, -1, 0, route, null, 0);
    }

    static SoakEvent answered(long atMillis, String who, String requestId, int status, String wrong) {
        return new SoakEvent(atMillis, What.ANSWERED, who, requestId, -1, -1, status, wrong, null, 0);
    }

    static SoakEvent of(long atMillis, What what, String who, String detail) {
        return new SoakEvent(atMillis, what, who, null, -1, -1, 0, detail, null, 0);
    }
}
