package org.siskindyke.runtime.traffic;

import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;

/**
 * What became of a request.
 *
 * @param requestId its id
 * @param route its route, or null
 * @param service its service, or null
 * @param slice the slice of its key, or null
 * @param status the answer's status
 * @param refusal the cause where the answer is the router's own; else null
 * @param verdict whether it may have run
 * @param nested whether it came from the backend server beside this router
 * @param attempts sends to routers
 * @param lastMember where it was sent last, or null
 * @param tookMillis how long it took
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
        long tookMillis) {}
