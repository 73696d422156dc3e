package org.siskindyke.kernel.control;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwnershipRow;

/** Hands over the slices of this member's targets that take no new work. */
final class HandoverDuty {
    private static final long RETRY_MILLIS = 100;

    private final ControlContext context;
    private final HolderDuty holder;
    private final ReleaseDuty releases;
    private long nextMillis;

    HandoverDuty(ControlContext context, HolderDuty holder, ReleaseDuty releases) {
        this.context = context;
        this.holder = holder;
        this.releases = releases;
    }

    /** Tells whether this member owns no slice any more. */
    boolean isFinished() {
        return holder.row().targets().stream().allMatch(t -> isFinished(t.service()));
    }

    /** Tells whether this member owns no slice of a service any more. */
    boolean isFinished(ServiceName service) {
        return releases.releasingCount() == 0
                && context.view().ownershipRow(service, context.self()).slices().isEmpty();
    }

    void tick(long nowMillis) {
        if (nowMillis < nextMillis) {
            return;
        }
        nextMillis = nowMillis + RETRY_MILLIS;
        for (TargetAnnouncement target : holder.row().targets()) {
            boolean retiring = holder.isLeavingRecorded() || !target.accepting();
            if (retiring && !isFinished(target.service()) && releases.releasingCount() == 0) {
                handOver(target.service());
            }
        }
    }

    private void handOver(ServiceName service) {
        SliceOwnershipRow holding = context.view().ownershipRow(service, context.self());
        List<MemberRow> heirs = TakeoverPlan.heirs(context.view(), service, context.self(), Optional.empty());
        if (heirs.isEmpty()) {
            release(service, holding.slices(), null);
            return;
        }
        Map<MemberId, Integer> counts = heirs.stream()
                .collect(Collectors.toMap(
                        MemberRow::id,
                        h -> context.view()
                                .ownershipRow(service, h.id())
                                .slices()
                                .size(),
                        (a, b) -> a,
                        () -> new TreeMap<>(Comparator.naturalOrder())));
        SliceShares.level(counts, holding.slices()).forEach((heir, slices) -> release(service, slices, heir));
    }

    private void release(ServiceName service, List<OwnedSlice> slices, MemberId heir) {
        List<Integer> indexes = slices.stream().map(OwnedSlice::index).toList();
        releases.start(new PeerMessenger.Release(service, indexes, heir, "owner takes no new work"));
    }
}
