package org.siskindyke.kernel.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import org.siskindyke.kernel.balance.HotRangePolicy;
import org.siskindyke.kernel.balance.SliceLoad;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.ownership.SliceRuns;

/**
 * Splits a range of neighbouring keys over several owners while its calls exceed what this member's target can run.
 * Costs a comparison of two numbers for each check as long as the target is not overloaded. Then asks some members for
 * the load of their targets and moves parts of the range to them, in one transaction.
 */
final class HotRangeController {
    private static final long CHECK_INTERVAL_MILLIS = 50;
    /** How long an overload has to last; by then the arrivals of all the window are of the overload. */
    private static final long CONFIRM_MILLIS = 200;
    /** How long answers are waited for; a round trip between regions takes some 30 ms. */
    private static final long ANSWER_WAIT_MILLIS = 120;
    /** Pause after a split or an attempt, so that its effect is measured; covers the moves of a split. */
    private static final long PAUSE_MILLIS = 2_000;
    /** Least pause between moves of one member that rejoin split blocks. */
    private static final long REJOIN_INTERVAL_MILLIS = 3_000;
    /** Utilisation by the calls of the last moments below which pieces of split blocks are handed over. */
    private static final double CALM_UTILISATION = 0.5;
    /** Members asked; more than get a part, since some have no room. */
    private static final int MAX_ASKED = 24;
    /**
     * Runs of slices in all rows of a service, for each member that accepts work; a member may own several times the
     * average after half of them were lost, and the reply to a heartbeat has room for 128.
     */
    private static final int MAX_RUNS_PER_MEMBER = 40;
    /** Runs of slices that one member's row may have for it to get more by a split. */
    private static final int MAX_RUNS_IN_ROW = 64;
    /** Runs beyond the blocks of a service, so that rows and gossip stay small in large deployments, too. */
    private static final int MAX_ADDED_RUNS = 256;

    private final ControlContext context;
    private final MemberRegistration registration;
    private final ReleaseController releases;
    private final LoadSource loads;
    private final HotRangePolicy policy = new HotRangePolicy();
    private final SplitBlocks splitBlocks;
    private final Map<ServiceName, State> states = new HashMap<>();
    private long nextCheckMillis;

    HotRangeController(
            ControlContext context, MemberRegistration registration, ReleaseController releases, LoadSource loads) {
        this.context = context;
        this.registration = registration;
        this.releases = releases;
        this.loads = loads;
        this.splitBlocks = new SplitBlocks(context);
    }

    /** What is known of a possible overload of the target of one service. */
    private static final class State {
        private static final long NEVER = Long.MAX_VALUE;
        private long overloadedSinceMillis = NEVER;
        private long pausedUntilMillis = Long.MIN_VALUE;
        private long planAtMillis = NEVER;
        private long nextRejoinMillis = Long.MIN_VALUE;
        private Map<MemberId, TargetUsage> answers = new TreeMap<>();
    }

    void tick(long nowMillis) {
        if (nowMillis < nextCheckMillis) {
            return;
        }
        nextCheckMillis = nowMillis + CHECK_INTERVAL_MILLIS;
        for (TargetAnnouncement target : registration.row().targets()) {
            if (target.accepting() && context.view().blockSlices(target.service()) > 1) {
                State state = states.computeIfAbsent(target.service(), s -> new State());
                check(target.service(), state, nowMillis);
                rejoin(target.service(), state, nowMillis);
            }
        }
    }

    /** Hands over a piece of a split block, or all of them, once the runs are many and this target has little load. */
    private void rejoin(ServiceName service, State state, long nowMillis) {
        if (nowMillis < state.nextRejoinMillis || releases.releasingCount() > 0) {
            return;
        }
        state.nextRejoinMillis =
                nowMillis + REJOIN_INTERVAL_MILLIS + context.random().nextLong(REJOIN_INTERVAL_MILLIS);
        double recent = loads.recentCallsPerSecond(service);
        boolean isCalm = loads.usage(service, List.of())
                .filter(mine -> recent * mine.utilisationPerCall() < CALM_UTILISATION)
                .isPresent();
        int added = runs(service) - blocks(service);
        if (isCalm && added > 0 && added > (maxRuns(service) - blocks(service)) / 2) {
            splitBlocks.nextMove(service).ifPresent(releases::start);
        }
    }

    private void check(ServiceName service, State state, long nowMillis) {
        double recent = loads.recentCallsPerSecond(service);
        if (recent == 0 || nowMillis < state.pausedUntilMillis) {
            return;
        }
        Optional<TargetUsage> mine = loads.usage(service, List.of());
        if (mine.isEmpty() || !policy.isOverloaded(mine.get(), recent) || releases.releasingCount() > 0) {
            state.overloadedSinceMillis = State.NEVER;
            state.planAtMillis = State.NEVER;
            return;
        }
        state.overloadedSinceMillis = Math.min(state.overloadedSinceMillis, nowMillis);
        if (nowMillis < state.overloadedSinceMillis + CONFIRM_MILLIS) {
            return;
        }
        if (state.planAtMillis == State.NEVER) {
            ask(service, mine.get(), state, nowMillis);
        } else if (nowMillis >= state.planAtMillis) {
            split(service, mine.get(), state, nowMillis);
        }
    }

    private void ask(ServiceName service, TargetUsage mine, State state, long nowMillis) {
        if (!policy.isConcentrated(mine, ownedRecent(service)) || freeRuns(service) <= 0) {
            return;
        }
        state.planAtMillis = nowMillis + ANSWER_WAIT_MILLIS;
        Map<MemberId, TargetUsage> answers = new TreeMap<>();
        state.answers = answers;
        List<MemberRow> others = new ArrayList<>(context.view().members().acceptingMembers(service));
        others.removeIf(member -> member.id().equals(context.self())
                || context.view().ownershipRow(service, member.id()).slices().size() >= MAX_RUNS_IN_ROW);
        Collections.shuffle(others, new Random(context.random().nextLong()));
        for (MemberRow other : others.subList(0, Math.min(MAX_ASKED, others.size()))) {
            context.peers().requestUsage(other, service, usage -> answers.put(other.id(), usage));
        }
    }

    private void split(ServiceName service, TargetUsage mine, State state, long nowMillis) {
        List<SliceLoad> recent = ownedRecent(service);
        List<HotRangePolicy.Candidate> candidates = new ArrayList<>();
        state.answers.forEach((member, usage) -> candidates.add(new HotRangePolicy.Candidate(member, usage)));
        List<HotRangePolicy.Move> moves = policy.plan(mine, recent, candidates, freeRuns(service));
        state.planAtMillis = State.NEVER;
        state.overloadedSinceMillis = State.NEVER;
        state.pausedUntilMillis = nowMillis + PAUSE_MILLIS;
        if (moves.isEmpty()) {
            return;
        }
        String reason = String.format(
                "hot range: %.0f calls/s arrive, %.0f can run",
                loads.recentCallsPerSecond(service), 1 / mine.utilisationPerCall());
        releases.start(moves.stream()
                .map(move -> new PeerMessenger.Release(service, move.slices(), move.to(), reason))
                .toList());
    }

    private List<SliceLoad> ownedRecent(ServiceName service) {
        var owned = SliceRuns.bits(context.view().ownedSlices(service, context.self()));
        return loads.recentSliceLoads(service).stream()
                .filter(slice -> owned.get(slice.index()))
                .toList();
    }

    /** Returns how many parts a split may have; each makes up to two more runs of slices. */
    private int freeRuns(ServiceName service) {
        int mine = context.view().ownershipRow(service, context.self()).slices().size();
        return Math.min(maxRuns(service) - runs(service), MAX_RUNS_IN_ROW - mine) / 2;
    }

    private int maxRuns(ServiceName service) {
        int members = context.view().members().acceptingMembers(service).size();
        return Math.min(blocks(service) + MAX_ADDED_RUNS, members * MAX_RUNS_PER_MEMBER);
    }

    private int blocks(ServiceName service) {
        return context.view().ownership().sliceCount(service) / context.view().blockSlices(service);
    }

    private int runs(ServiceName service) {
        int runs = 0;
        for (MemberRow member : context.view().members().acceptingMembers(service)) {
            runs += context.view().ownershipRow(service, member.id()).slices().size();
        }
        return runs;
    }
}
