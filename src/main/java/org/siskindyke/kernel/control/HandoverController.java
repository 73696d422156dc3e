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
import org.siskindyke.kernel.ownership.SliceRuns;

/**
 * Releases all slices of a backend server that accepts no new work, and those of every backend server once this member
 * is leaving.
 */
final class HandoverController {
    private static final long RETRY_MILLIS = 100;

    private final ControlContext context;
    private final MemberRegistration registration;
    private final ReleaseController releases;
    private long nextMillis;

    HandoverController(ControlContext context, MemberRegistration registration, ReleaseController releases) {
        this.context = context;
        this.registration = registration;
        this.releases = releases;
    }

    /** Returns whether {@link #isFinished(ServiceName)} holds for the services of all targets in this member's row. */
    boolean isFinished() {
        return registration.row().targets().stream().allMatch(t -> isFinished(t.service()));
    }

    /** Returns whether this member owns no slice of a service and no release, of any service, is in progress. */
    boolean isFinished(ServiceName service) {
        return releases.releasingCount() == 0
                && context.view().ownedSlices(service, context.self()).isEmpty();
    }

    void tick(long nowMillis) {
        if (nowMillis < nextMillis) {
            return;
        }
        nextMillis = nowMillis + RETRY_MILLIS;
        for (TargetAnnouncement target : registration.row().targets()) {
            boolean mustHandOver = registration.isLeavingRecorded() || !target.accepting();
            if (mustHandOver && !isFinished(target.service()) && releases.releasingCount() == 0) {
                handOver(target.service());
            }
        }
    }

    private void handOver(ServiceName service) {
        List<OwnedSlice> owned = context.view().ownedSlices(service, context.self());
        List<MemberRow> newOwners = isEvacuated()
                ? TakeoverPlan.chooseNewOwnersAtRandom(context, service)
                : TakeoverPlan.chooseNewOwners(context.view(), service, context.self(), Optional.empty());
        if (newOwners.isEmpty()) {
            release(service, owned, null);
            return;
        }
        Map<MemberId, Integer> counts = newOwners.stream()
                .collect(Collectors.toMap(
                        MemberRow::id,
                        m -> context.view().ownedCount(service, m.id()),
                        (a, b) -> a,
                        () -> new TreeMap<>(Comparator.naturalOrder())));
        SliceShares.divideEvenly(counts, wholeBlocks(service, owned))
                .forEach((newOwner, slices) -> release(service, slices, newOwner));
    }

    /** Returns the slices as runs of whole blocks, as far as they are, so that pieces of one go to one new owner. */
    private List<OwnedSlice> wholeBlocks(ServiceName service, List<OwnedSlice> owned) {
        int blockSlices = context.view().blockSlices(service);
        return SliceRuns.reassign(owned, blockSlices, context.era(), OwnedSlice::settleMillis, slice -> null);
    }

    private boolean isEvacuated() {
        return context.view().members().isEvacuated(registration.row().failureDomain());
    }

    private void release(ServiceName service, List<OwnedSlice> slices, MemberId newOwner) {
        List<Integer> indexes = SliceRuns.indexes(slices);
        releases.start(new PeerMessenger.Release(service, indexes, newOwner, "owner accepts no new work"));
    }
}
