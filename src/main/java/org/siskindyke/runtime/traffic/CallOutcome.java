package org.siskindyke.runtime.traffic;

import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;

/**
 * Describes how a caller's request ended.
 *
 * @param requestId the id of the request; null where the caller sent none
 * @param route the name of its route; null where no route matched
 * @param service its service; null where none was found
 * @param slice the slice of its key; null where it has no key, or the service is undivided or its slices are not known
 * @param status the HTTP status returned to the caller; 0 where the caller left before
 * @param refusal why the router itself answered; null where a backend server's response was returned
 * @param verdict whether the request may have run at a backend server
 * @param nested whether a request that runs at the backend server beside this router made it and waits for it
 * @param attempts the number of attempts, at this router or others
 * @param lastMember the member that the last attempt was sent to; null where there was none
 * @param configurationVersion the version of the configuration that decided; 0 before the first
 * @param tookMillis the time from reading the request to its response, in milliseconds
 */
public record CallOutcome(
        String requestId,
        String route,
        ServiceName service,
        SliceRef slice,
        int status,
        Refusal refusal,
        Verdict verdict,
        boolean nested,
        int attempts,
        MemberId lastMember,
        long configurationVersion,
        long tookMillis) {}
