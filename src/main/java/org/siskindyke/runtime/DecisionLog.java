package org.siskindyke.runtime;

import java.lang.System.Logger.Level;

import org.siskindyke.kernel.control.PlacementDecision;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Reply;

/** Writes a line for each routing and placement decision. Keys, tokens and bodies are not written. */
public final class DecisionLog {
    private static final System.Logger ROUTING = System.getLogger("siskindyke.routing");
    private static final System.Logger PLACEMENT = System.getLogger("siskindyke.placement");

    private DecisionLog() {}

    /** Where a call was sent. */
    public enum Route {
        /** To the backend server beside this router. */
        LOCAL,
        /** To another router. */
        FORWARD,
        /** Nowhere. */
        REFUSE
    }

    /**
     * Logs what was decided for one attempt of a call and what came of it.
     *
     * @param call the call
     * @param attempt counts attempts from 1
     * @param route where it was sent
     * @param to the member it was sent to; null for none
     * @param reply what came of it
     * @param tookMillis how long it took
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

    /** Logs a placement decision. */
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
