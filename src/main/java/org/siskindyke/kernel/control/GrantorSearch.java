package org.siskindyke.kernel.control;

import java.util.List;
import java.util.function.Consumer;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.GrantDecision;
import org.siskindyke.kernel.membership.MemberRow;

/** Looks for a member that is willing to be grantor; the table stands in where none answers in time. */
final class GrantorSearch {
    private static final int MAX_CANDIDATES = 5;
    private static final long PROBE_MILLIS = 200;

    private final ControlContext context;
    private final FailureDomain domain;
    private final MemberId excluded;
    private final Consumer<MemberId> onFound;
    private final long deadlineMillis;
    private boolean finished;

    /**
     * Starts a search.
     *
     * @param context shared parts
     * @param domain the searcher's failure domain, in which grantors are the last choice
     * @param excluded a member not to ask; may be null
     * @param onFound receives the grantor found, or {@link MemberId#TABLE}
     */
    GrantorSearch(ControlContext context, FailureDomain domain, MemberId excluded, Consumer<MemberId> onFound) {
        this.context = context;
        this.domain = domain;
        this.excluded = excluded;
        this.onFound = onFound;
        this.deadlineMillis = context.nowMillis() + PROBE_MILLIS;
    }

    void start() {
        List<MemberRow> candidates = context.view().members().ring().successors(context.self(), domain, MAX_CANDIDATES);
        boolean asked = false;
        for (MemberRow candidate : candidates) {
            if (!candidate.id().equals(excluded)) {
                asked = true;
                probe(candidate);
            }
        }
        if (!asked) {
            finish(MemberId.TABLE);
        }
    }

    boolean isFinished() {
        return finished;
    }

    void tick(long nowMillis) {
        if (nowMillis >= deadlineMillis) {
            finish(MemberId.TABLE);
        }
    }

    private void probe(MemberRow candidate) {
        PeerPort.Renewal probe = new PeerPort.Renewal(context.self(), 0, 0, true);
        context.peers().renew(candidate, probe, reply -> {
            if (reply.decision() == GrantDecision.WILLING) {
                finish(candidate.id());
            }
        });
    }

    private void finish(MemberId found) {
        if (!finished) {
            finished = true;
            onFound.accept(found);
        }
    }
}
