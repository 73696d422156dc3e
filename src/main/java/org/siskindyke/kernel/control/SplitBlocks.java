package org.siskindyke.kernel.control;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.ownership.SliceOwner;
import org.siskindyke.kernel.ownership.SliceRuns;

/**
 * Chooses the moves by which the pieces of a split block become one run again: each owner of a piece hands it to the
 * owner of the most slices of the block; that one, once it owns all of them, hands the block over to another member,
 * which gets it in one generation.
 */
final class SplitBlocks {
    private static final String REASON = "rejoin a split block";

    private final ControlContext context;

    SplitBlocks(ControlContext context) {
        this.context = context;
    }

    /** Returns the next of these moves for a piece that this member owns; empty if it owns none. */
    Optional<PeerMessenger.Release> nextMove(ServiceName service) {
        int blockSlices = context.view().blockSlices(service);
        List<OwnedSlice> owned = context.view().ownedSlices(service, context.self());
        return owned.stream()
                .filter(run -> run.count() < blockSlices)
                .map(run -> run.index() / blockSlices)
                .distinct()
                .flatMap(block -> move(service, owned, block * blockSlices, (block + 1) * blockSlices).stream())
                .findFirst();
    }

    private Optional<PeerMessenger.Release> move(ServiceName service, List<OwnedSlice> owned, int from, int to) {
        List<Integer> mine = SliceRuns.indexes(owned).stream()
                .filter(index -> index >= from && index < to)
                .toList();
        Optional<MemberId> newOwner = mine.size() == to - from ? fewestSlices(service) : ownerOfMost(service, from, to);
        return newOwner.filter(member -> !member.equals(context.self()))
                .map(member -> new PeerMessenger.Release(service, mine, member, REASON));
    }

    private Optional<MemberId> ownerOfMost(ServiceName service, int from, int to) {
        Map<MemberId, Integer> counts = new TreeMap<>();
        for (int index = from; index < to; index++) {
            context.view()
                    .ownership()
                    .owner(new SliceRef(service, index))
                    .map(SliceOwner::member)
                    .ifPresent(member -> counts.merge(member, 1, Integer::sum));
        }
        return counts.entrySet().stream()
                .max(Map.Entry.<MemberId, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }

    private Optional<MemberId> fewestSlices(ServiceName service) {
        return context.view().members().acceptingMembers(service).stream()
                .map(MemberRow::id)
                .filter(member -> !member.equals(context.self()))
                .min(Comparator.comparingInt((MemberId member) -> context.view().ownedCount(service, member))
                        .thenComparing(Comparator.naturalOrder()));
    }
}
