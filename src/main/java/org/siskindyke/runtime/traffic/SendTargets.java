package org.siskindyke.runtime.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.siskindyke.kernel.balance.LocalityAwareSelector;
import org.siskindyke.kernel.balance.ReportedTargetLoad;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.ownership.KeyRange;
import org.siskindyke.kernel.ownership.SliceOwner;

/** Knows where requests may be sent, and what was seen of each place. Confined to the traffic loop. */
final class SendTargets {
    private final Supplier<ClusterView> view;
    private final LocalityAwareSelector chooser;
    private final Map<MemberId, ReportedTargetLoad> views = new HashMap<>();

    SendTargets(Supplier<ClusterView> view, LocalityAwareSelector chooser) {
        this.view = view;
        this.chooser = chooser;
    }

    /**
     * A choice among several.
     *
     * @param member the member
     * @param othersLeft whether there are more that were not tried
     */
    record Choice(MemberRow member, boolean othersLeft) {}

    /** Returns the slice of a key; null where the slices of the service are not known. */
    SliceRef slice(ServiceName service, int key) {
        int slices = view.get().ownership().sliceCount(service);
        return slices == 0 ? null : new SliceRef(service, KeyRange.sliceOf(key, slices));
    }

    /** Returns the member that serves a slice. */
    Optional<MemberRow> owner(SliceRef slice) {
        return view.get()
                .ownership()
                .owner(slice)
                .map(SliceOwner::member)
                .flatMap(member -> view.get().members().serving(member));
    }

    /** Chooses a member whose backend server offers an undivided service. */
    Optional<Choice> choose(ServiceName service, Set<MemberId> tried, long leftMillis, long nowMillis) {
        List<MemberRow> candidates = view.get().members().acceptingMembers(service);
        return chooser.choose(candidates, tried, this::viewOf, leftMillis, nowMillis)
                .map(chosen -> new Choice(
                        chosen,
                        candidates.stream().anyMatch(c -> !c.id().equals(chosen.id()) && !tried.contains(c.id()))));
    }

    /** Tells whether a member with a target of the service was not tried yet. */
    boolean hasUntried(ServiceName service, Set<MemberId> tried) {
        return view.get().members().acceptingMembers(service).stream().anyMatch(m -> !tried.contains(m.id()));
    }

    /** Returns what was seen of a member. */
    ReportedTargetLoad viewOf(MemberId member) {
        return views.computeIfAbsent(member, m -> new ReportedTargetLoad());
    }

    /** Forgets what was seen of members that have ended. */
    void forgetAllBut(Set<MemberId> serving) {
        views.keySet().retainAll(serving);
    }

    /** Returns the number of routers that serve, at least 1. */
    int routers() {
        return Math.max(1, view.get().members().serving().size());
    }
}
