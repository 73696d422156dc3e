package org.siskindyke.runtime;

import java.lang.System.Logger.Level;

import org.siskindyke.kernel.control.PlacementDecision;
import org.siskindyke.kernel.crash.SuspectAssessment;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Reply;

/**
 * Logs each routing and placement decision of a {@link RouterProcess} in one line. Keys, tokens and bodies are never
 * logged.
 */
public final class DecisionLog {
    private static final System.Logger ROUTING = System.getLogger("siskindyke.routing");
    private static final System.Logger PLACEMENT = System.getLogger("siskindyke.placement");

    private DecisionLog() {}

    /** The destination of one attempt of a call. */
    public enum Route {
        /** The backend server beside this router. */
        LOCAL,
        /** Another router. */
        FORWARD,
        /** None; the router refuses the call itself. */
        REFUSE
    }

    /**
     * Logs the route and the result of one attempt of a call.
     *
     * @param call the call
     * @param attempt number of the attempt, from 1
     * @param route destination of the attempt
     * @param to the member that the call was sent to; null for none
     * @param reply the reply to the attempt
     * @param tookMillis duration in milliseconds
     */
    public static void routing(Call call, int attempt, Route route, MemberId to, Reply reply, long tookMillis) {
        if (!ROUTING.isLoggable(Level.INFO)) {
            return;
        }
        StringBuilder line = new StringBuilder(160);
        line.append("event=route call=").append(call.id());
        line.append(" service=").append(call.service());
        line.append(" slice=").append(call.slice() == null ? "-" : call.slice().index());
        line.append(" attempt=").append(attempt);
        line.append(" route=").append(route);
        line.append(" to=").append(to == null ? "-" : to);
        line.append(" verdict=").append(reply.verdict());
        line.append(" code=").append(reply.refusal() == null ? "-" : reply.refusal());
        line.append(" status=").append(reply.status());
        line.append(" tookMillis=").append(tookMillis);
        ROUTING.log(Level.INFO, line.toString());
    }

    /** Logs that a call is refused, since backend servers have ended while they ran it, with the evidence. */
    public static void suspectRefused(Call call, SuspectAssessment assessment) {
        ROUTING.log(
                Level.WARNING,
                "event=suspect-refused call=" + call.id()
                        + " service=" + call.service()
                        + " fingerprint=" + call.fingerprint()
                        + " caller=" + call.caller()
                        + " crashed=" + assessment.crashed()
                        + " lastCrashMillisAgo=" + assessment.youngestMillis()
                        + " level=" + assessment.level());
    }

    /** Logs a placement decision: at level INFO if it was committed, at DEBUG otherwise. */
    public static void placement(MemberId self, PlacementDecision decision) {
        PLACEMENT.log(
                decision.committed() ? Level.INFO : Level.DEBUG,
                "event=placement member=" + self
                        + " kind=" + decision.kind()
                        + " service=" + (decision.service() == null ? "-" : decision.service())
                        + " from=" + (decision.from() == null ? "-" : decision.from())
                        + " to=" + (decision.to() == null ? "-" : decision.to())
                        + " slices=" + decision.slices()
                        + " committed=" + decision.committed()
                        + " reason=\"" + decision.reason() + "\"");
    }
}
