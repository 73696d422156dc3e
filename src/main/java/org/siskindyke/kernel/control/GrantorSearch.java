package org.siskindyke.kernel.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.siskindyke.kernel.id.FailureDomain;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.GrantDecision;
import org.siskindyke.kernel.membership.GrantorRing;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;

/**
 * Searches for the best member that is willing to be this member's grantor. If none is willing, the result is the
 * table.
 *
 * <p>Candidates are ordered, best first, by {@link org.siskindyke.kernel.membership.GrantorRing#candidates}. All are
 * probed at once. The search ends at its deadline, as soon as a candidate is willing and all better ones have refused,
 * or when all have refused.
 */
final class GrantorSearch {
    private static final int MAX_CANDIDATES = 5;
    private static final long PROBE_TIMEOUT_MILLIS = 200;

    private final ControlContext context;
    private final FailureDomain domain;
    private final MemberId excluded;
    private final Consumer<MemberId> onFound;
    private final long deadlineMillis;
    private final Map<MemberId, Boolean> answers = new HashMap<>();
    private List<MemberRow> candidates = List.of();
    private boolean finished;

    /**
     * Prepares a search; {@link #start} sends the probes.
     *
     * @param context settings and collaborators that all parts share
     * @param domain this member's failure domain; candidates of other failure domains are preferred
     * @param excluded a member not to probe; null for none
     * @param onFound receives the grantor found, or {@link MemberId#TABLE}
     */
    GrantorSearch(ControlContext context, FailureDomain domain, MemberId excluded, Consumer<MemberId> onFound) {
        this.context = context;
        this.domain = domain;
        this.excluded = excluded;
        this.onFound = onFound;
        this.deadlineMillis = context.nowMillis() + PROBE_TIMEOUT_MILLIS;
    }

    void start() {
        if (!context.settings().peerGrantors()) {
            finish(MemberId.TABLE);
            return;
        }
        candidates = ring().candidates(context.self(), domain, MAX_CANDIDATES).stream()
                .filter(c -> !c.id().equals(excluded))
                .toList();
        candidates.forEach(this::probe);
        finishWhenDecided();
    }

    /**
     * Returns the members that are known to live. A process that answers at the address of a member whose row is of an
     * earlier era of the table may be another one.
     */
    private GrantorRing ring() {
        List<MemberRow> recorded = context.view().members().serving().stream()
                .filter(member -> member.state() == MemberState.ALIVE)
                .filter(member -> context.view().isRecordedInPresentEra(member.id()))
                .toList();
        return GrantorRing.of(recorded);
    }

    boolean isFinished() {
        return finished;
    }

    void tick(long nowMillis) {
        if (nowMillis >= deadlineMillis) {
            finish(candidates.stream()
                    .map(MemberRow::id)
                    .filter(id -> answers.getOrDefault(id, false))
                    .findFirst()
                    .orElse(MemberId.TABLE));
        }
    }

    private void probe(MemberRow candidate) {
        PeerMessenger.Renewal probe = new PeerMessenger.Renewal(context.self(), 0, 0, true);
        context.peers().renew(candidate, probe, reply -> {
            answers.put(candidate.id(), reply.decision() == GrantDecision.WILLING);
            finishWhenDecided();
        });
    }

    private void finishWhenDecided() {
        for (MemberRow candidate : candidates) {
            Boolean willing = answers.get(candidate.id());
            if (willing == null) {
                return;
            }
            if (willing) {
                finish(candidate.id());
                return;
            }
        }
        finish(MemberId.TABLE);
    }

    private void finish(MemberId found) {
        if (!finished) {
            finished = true;
            onFound.accept(found);
        }
    }
}
