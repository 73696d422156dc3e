package org.siskindyke.runtime.call;

import java.util.List;

import org.siskindyke.kernel.balance.TargetLoadReport;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.id.MemberId;

/**
 * What became of a call.
 *
 * @param status HTTP status
 * @param headers fields to pass on
 * @param body the whole body
 * @param verdict whether the call may have run
 * @param refusal why there is no answer of a backend server; null where there is one
 * @param retryAfterMillis when the caller should come back; 0 where that is not known
 * @param owner the owner that a router which refused knows of; null for none
 * @param generation the generation of that ownership
 * @param load how busy the target is, or null where its router did not tell
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

    /** Returns the whole answer of a backend server. */
    public static Reply answer(int status, List<Header> headers, byte[] body) {
        return new Reply(status, headers, body, Verdict.RAN, null, 0, null, 0, null);
    }

    /** Returns a refusal of a call that did not run. */
    public static Reply notRun(Refusal refusal, long retryAfterMillis) {
        return refused(Verdict.NOT_RUN, refusal, retryAfterMillis);
    }

    /** Returns the outcome of a call that may have run but has no whole answer. */
    public static Reply mayHaveRun(Refusal refusal) {
        return refused(Verdict.MAY_HAVE_RUN, refusal, 0);
    }

    private static Reply refused(Verdict verdict, Refusal refusal, long retryAfterMillis) {
        return new Reply(refusal.status(), List.of(), NO_BODY, verdict, refusal, retryAfterMillis, null, 0, null);
    }

    /** Returns the reply with the owner that the refusing router knows of. */
    public Reply withOwner(MemberId knownOwner, long knownGeneration) {
        return new Reply(status, headers, body, verdict, refusal, retryAfterMillis, knownOwner, knownGeneration, load);
    }

    /** Returns the reply with a verdict that covers earlier attempts too. */
    public Reply withVerdict(Verdict combined) {
        return new Reply(status, headers, body, combined, refusal, retryAfterMillis, owner, generation, load);
    }

    /** Returns the reply with a report of how busy the target is. */
    public Reply withLoad(TargetLoadReport report) {
        return new Reply(status, headers, body, verdict, refusal, retryAfterMillis, owner, generation, report);
    }

    /** Tells whether the reply is a whole answer of a backend server. */
    public boolean isAnswer() {
        return refusal == null;
    }
}
