package org.siskindyke.kernel.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.siskindyke.kernel.balance.SliceBalancePolicy;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.document.DocumentCatalog.AcceptedDocument;
import org.siskindyke.kernel.document.ServiceDocument;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.ownership.OwnedSlice;

/**
 * Balances load between pairs of owners: at random intervals a member requests the load of a random other member whose
 * backend server of the same service accepts new work, and releases to that member the slices that the policy chooses,
 * if any. The cost per member does not depend on the number of members.
 */
final class SliceBalancer {
    private static final long PAUSE_AFTER_MOVE_MILLIS = 1_500;

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

    /** Returns the load of this member's backend server of a service; empty where it has none. */
    Optional<TargetUsage> usage(ServiceName service) {
        return loads.usage(service, owned(service));
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
        Optional<TargetUsage> mine = usage(service);
        if (mine.isEmpty() || releases.releasingCount() > 0) {
            return;
        }
        List<Integer> chosen = policy.choose(document, mine.get(), loads.sliceLoads(service, owned(service)), theirs);
        if (chosen.isEmpty()) {
            return;
        }
        nextComparisonMillis.put(service, context.nowMillis() + PAUSE_AFTER_MOVE_MILLIS);
        String reason = String.format(
                "utilisation %.3f, new owner has %.3f", mine.get().weightedUtilisation(), theirs.weightedUtilisation());
        releases.start(new PeerMessenger.Release(service, chosen, other.id(), reason));
    }

    private List<Integer> owned(ServiceName service) {
        return context.view().ownershipRow(service, context.self()).slices().stream()
                .map(OwnedSlice::index)
                .toList();
    }
}
