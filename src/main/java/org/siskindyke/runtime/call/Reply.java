package org.siskindyke.runtime.call;

import java.util.List;

import org.siskindyke.kernel.balance.TargetLoadReport;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.id.MemberId;

/**
 * The outcome of a call: a backend server's response, or a refusal.
 *
 * @param status HTTP status
 * @param headers header fields to pass on
 * @param body the whole body
 * @param verdict whether the call may have run
 * @param refusal why there is no response of a backend server; null if there is one
 * @param retryAfterMillis delay before the caller should retry; 0 if not known
 * @param owner the slice's owner as known to the refusing router; null if it reports none
 * @param generation the generation of that ownership
 * @param load the load of the target; null if its router did not report it
 */
public record Reply(
        int status,
        List<Header> headers,
        byte[] body,
        Verdict verdict,
        Refusal refusal,
        long retryAfterMillis,
        MemberId owner,
        long generation,
        TargetLoadReport load) {
    private static final byte[] NO_BODY = {};

    /** Returns a reply with the complete response of a backend server. */
    public static Reply answer(int status, List<Header> headers, byte[] body) {
        return new Reply(status, headers, body, Verdict.RAN, null, 0, null, 0, null);
    }

    /** Returns a refusal of a call that did not run. */
    public static Reply notRun(Refusal refusal, long retryAfterMillis) {
        return refused(Verdict.NOT_RUN, refusal, retryAfterMillis);
    }

    /** Returns a refusal of a call that may have run but has no complete response. */
    public static Reply mayHaveRun(Refusal refusal) {
        return refused(Verdict.MAY_HAVE_RUN, refusal, 0);
    }

    private static Reply refused(Verdict verdict, Refusal refusal, long retryAfterMillis) {
        return new Reply(refusal.status(), List.of(), NO_BODY, verdict, refusal, retryAfterMillis, null, 0, null);
    }

    /** Returns a copy with the owner that is known to the refusing router. */
    public Reply withOwner(MemberId knownOwner, long knownGeneration) {
        return new Reply(status, headers, body, verdict, refusal, retryAfterMillis, knownOwner, knownGeneration, load);
    }

    /** Returns a copy with a verdict that covers earlier attempts too. */
    public Reply withVerdict(Verdict combined) {
        return new Reply(status, headers, body, combined, refusal, retryAfterMillis, owner, generation, load);
    }

    /** Returns a copy with the load of the target. */
    public Reply withLoad(TargetLoadReport report) {
        return new Reply(status, headers, body, verdict, refusal, retryAfterMillis, owner, generation, report);
    }

    /** Returns whether the reply is the complete response of a backend server. */
    public boolean isAnswer() {
        return refusal == null;
    }
}
