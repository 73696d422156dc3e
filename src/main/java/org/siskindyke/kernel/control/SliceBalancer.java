package org.siskindyke.kernel.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.siskindyke.kernel.balance.SliceBalancePolicy;
import org.siskindyke.kernel.balance.SliceLoad;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.document.DocumentCatalog.AcceptedDocument;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceRuns;

/**
 * Balances load between pairs of owners: at random intervals a member requests the load of a random other member whose
 * backend server of the same service accepts new work, and releases to that member the slices that the policy chooses,
 * if any. The cost per member does not depend on the number of members.
 */
final class SliceBalancer {
    private static final long PAUSE_AFTER_MOVE_MILLIS = 1_500;
    /** Utilisation by the arrivals of the last moments from which these count in place of the average. */
    private static final double RISEN_UTILISATION = 0.8;

    private final ControlContext context;
    private final MemberRegistration registration;
    private final ReleaseController releases;
    private final LoadSource loads;
    private final SliceBalancePolicy policy;
    private final Map<ServiceName, Long> nextComparisonMillis = new HashMap<>();

    SliceBalancer(
            ControlContext context,
            MemberRegistration registration,
            ReleaseController releases,
            LoadSource loads,
            SliceBalancePolicy policy) {
        this.context = context;
        this.registration = registration;
        this.releases = releases;
        this.loads = loads;
        this.policy = policy;
    }

    void tick(long nowMillis) {
        for (TargetAnnouncement target : registration.row().targets()) {
            ServiceName service = target.service();
            if (target.accepting() && nowMillis >= nextComparisonMillis.getOrDefault(service, Long.MIN_VALUE)) {
                long intervalMillis = context.settings().planMillis();
                nextComparisonMillis.put(
                        service, nowMillis + intervalMillis + context.random().nextLong(intervalMillis));
                requestUsageFromRandomMember(service);
            }
        }
    }

    /**
     * Returns the load of this member's backend server of a service; empty where it has none. The number of slices is
     * that of blocks where slices are assigned in blocks. A rate that has risen lately to near the server's capacity
     * counts in place of the average, so that others do not move further load to it.
     */
    Optional<TargetUsage> usage(ServiceName service) {
        double recent = loads.recentCallsPerSecond(service);
        return averageUsage(service).map(usage -> {
            boolean risen = recent * usage.utilisationPerCall() >= RISEN_UTILISATION;
            double rate = risen ? Math.max(recent, usage.callsPerSecond()) : usage.callsPerSecond();
            return new TargetUsage(rate, usage.millisPerCall(), usage.slots(), usage.sliceCount());
        });
    }

    private Optional<TargetUsage> averageUsage(ServiceName service) {
        List<Integer> slices = SliceRuns.indexes(owned(service));
        int block = context.view().blockSlices(service);
        int blocks = (slices.size() + block - 1) / block;
        return loads.usage(service, slices)
                .map(usage -> new TargetUsage(usage.callsPerSecond(), usage.millisPerCall(), usage.slots(), blocks));
    }

    private void requestUsageFromRandomMember(ServiceName service) {
        Optional<ServiceDocument> document = context.view()
                .documents()
                .get(service)
                .map(AcceptedDocument::document)
                .filter(d -> d.keys().divided());
        List<MemberRow> acceptingMembers = context.view().members().acceptingMembers(service);
        if (document.isEmpty() || acceptingMembers.size() < 2 || owned(service).isEmpty()) {
            return;
        }
        MemberRow other = acceptingMembers.get(context.random().nextInt(acceptingMembers.size()));
        if (!other.id().equals(context.self())) {
            context.peers().requestUsage(other, service, theirs -> compare(document.get(), other, theirs));
        }
    }

    private void compare(ServiceDocument document, MemberRow other, TargetUsage theirs) {
        ServiceName service = document.service();
        Optional<TargetUsage> mine = averageUsage(service);
        if (mine.isEmpty() || releases.releasingCount() > 0) {
            return;
        }
        List<OwnedSlice> owned = movable(service, mine.get(), theirs);
        List<Integer> chosen = policy.choose(document, mine.get(), runLoads(service, owned), theirs);
        if (chosen.isEmpty()) {
            return;
        }
        nextComparisonMillis.put(service, context.nowMillis() + PAUSE_AFTER_MOVE_MILLIS);
        String reason = String.format(
                "utilisation %.3f, new owner has %.3f", mine.get().weightedUtilisation(), theirs.weightedUtilisation());
        Set<Integer> first = Set.copyOf(chosen);
        List<OwnedSlice> moving =
                owned.stream().filter(run -> first.contains(run.index())).toList();
        releases.start(new PeerMessenger.Release(service, SliceRuns.indexes(moving), other.id(), reason));
    }

    /**
     * Returns the runs that may move. Where they move because the other member owns far fewer slices, these are no
     * small pieces of split blocks, or else the other member would go on owning few.
     */
    private List<OwnedSlice> movable(ServiceName service, TargetUsage mine, TargetUsage theirs) {
        boolean ownsFarFewer = theirs.sliceCount() * 4 < mine.sliceCount();
        int block = context.view().blockSlices(service);
        return owned(service).stream()
                .filter(run -> !ownsFarFewer || run.count() * 2 >= block)
                .toList();
    }

    /** Returns the load of each run of slices, which moves as a whole, by the index of its first slice. */
    private List<SliceLoad> runLoads(ServiceName service, List<OwnedSlice> owned) {
        return owned.stream()
                .map(run -> new SliceLoad(
                        run.index(),
                        loads.sliceLoads(service, SliceRuns.indexes(List.of(run))).stream()
                                .mapToDouble(SliceLoad::callsPerSecond)
                                .sum()))
                .toList();
    }

    private List<OwnedSlice> owned(ServiceName service) {
        return context.view().ownershipRow(service, context.self()).slices();
    }
}
