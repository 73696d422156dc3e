package org.siskindyke.runtime.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.siskindyke.kernel.balance.LeavingTargets;
import org.siskindyke.kernel.balance.LocalityAwareSelector;
import org.siskindyke.kernel.balance.ReportedTargetLoad;
import org.siskindyke.kernel.balance.TargetChooser;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.membership.MemberState;
import org.siskindyke.kernel.ownership.KeyRange;
import org.siskindyke.kernel.ownership.SliceOwner;
import org.siskindyke.kernel.place.Evacuation;
import org.siskindyke.kernel.place.Topology;
import org.siskindyke.kernel.route.Route;

/**
 * Selects the members to which requests are sent, and keeps the load that this router has observed at each. Confined
 * to the traffic loop.
 */
final class TargetSelector {
    private final Supplier<ClusterView> clusterView;
    private final TargetChooser chooser;
    private final Consumer<TargetChoice> choiceListener;
    private final Supplier<Duration> drain;
    private final Topology topology;
    private final long evacuationMillis;
    private final Map<MemberId, ReportedTargetLoad> loadByMember = new HashMap<>();
    private final Map<ServiceName, List<MemberRow>> filteredByService = new HashMap<>();
    private final LeavingTargets leaving = new LeavingTargets();
    private Evacuation evacuation = Evacuation.NONE;

    /**
     * Creates a selector.
     *
     * @param clusterView returns the present view of the cluster
     * @param chooser chooses among the targets of an undivided service
     * @param choiceListener receives each choice by another method than the one for few targets
     * @param drain returns the time within which a leaving backend server stops getting calls
     * @param topology the regions of the failure domains
     * @param evacuationTime time within which an evacuation must be in force
     */
    TargetSelector(
            Supplier<ClusterView> clusterView,
            TargetChooser chooser,
            Consumer<TargetChoice> choiceListener,
            Supplier<Duration> drain,
            Topology topology,
            Duration evacuationTime) {
        this.clusterView = clusterView;
        this.chooser = chooser;
        this.choiceListener = choiceListener;
        this.drain = drain;
        this.topology = topology;
        this.evacuationMillis = evacuationTime.toMillis();
    }

    /**
     * A member chosen among several.
     *
     * @param member the chosen member
     * @param hasAlternatives whether there are others that have not been tried
     */
    record Choice(MemberRow member, boolean hasAlternatives) {}

    /** Replaces the evacuation orders in force. */
    void setEvacuation(Evacuation inForce) {
        evacuation = inForce;
    }

    /** Returns whether a member is in a region whose servers may get a route's requests. */
    boolean permits(Route route, MemberRow member) {
        return route.allowedRegions().permits(member.failureDomain(), topology);
    }

    /**
     * Returns why no server can get a route's requests now or soon, whatever becomes of single servers; empty if one
     * can.
     */
    Optional<Refusal> barrier(Route route, ServiceName service) {
        boolean restricted = route.allowedRegions().isRestricted();
        if (evacuation.isEmpty() && !restricted) {
            return Optional.empty();
        }
        if (clusterView.get().members().acceptingMembers(service).stream().anyMatch(m -> permits(route, m))) {
            return Optional.empty();
        }
        List<MemberRow> hosts = clusterView.get().members().serving().stream()
                .filter(m -> m.targetOf(service).isPresent())
                .toList();
        List<MemberRow> permitted =
                hosts.stream().filter(m -> permits(route, m)).toList();
        if (permitted.isEmpty()) {
            return restricted ? Optional.of(Refusal.REGION_NOT_ALLOWED) : Optional.empty();
        }
        return permitted.stream().allMatch(m -> evacuation.isEvacuated(m.failureDomain()))
                ? Optional.of(Refusal.EVACUATED)
                : Optional.empty();
    }

    /** Returns the slice of a key, or null where the service's number of slices is not known. */
    SliceRef slice(ServiceName service, int key) {
        int slices = clusterView.get().ownership().sliceCount(service);
        return slices == 0 ? null : new SliceRef(service, KeyRange.sliceOf(key, slices));
    }

    /** Records that a response of a member's target says that the target leaves. */
    void onLeavingAnnounced(MemberRow member, ServiceName service, long nowMillis) {
        member.targetOf(service).ifPresent(target -> leaving.onAnnounced(target.target(), nowMillis));
    }

    /** Returns whether a member's target has said for at least {@code sinceMillis} that it leaves. */
    private boolean isLeaving(MemberRow member, ServiceName service, long sinceMillis, long nowMillis) {
        return member.targetOf(service)
                .filter(target -> leaving.isLeaving(target.target(), sinceMillis, nowMillis))
                .isPresent();
    }

    /**
     * Returns the owner of a slice; empty where there is none, it is not serving, its target has been leaving for most
     * of the drain time, or its failure domain has been evacuated for a part of the time allowed for that.
     */
    Optional<MemberRow> owner(SliceRef slice, long nowMillis) {
        long servesWhileLeavingMillis = (long) (drain.get().toMillis() * LeavingTargets.SERVED_SHARE_OF_DRAIN);
        return clusterView
                .get()
                .ownership()
                .owner(slice)
                .map(SliceOwner::member)
                .flatMap(member -> clusterView.get().members().serving(member))
                .filter(member -> evacuation.servesSlices(member.failureDomain(), evacuationMillis, nowMillis))
                .filter(member -> !isLeaving(member, slice.service(), servesWhileLeavingMillis, nowMillis));
    }

    /**
     * Chooses a member that accepts requests for an undivided service.
     *
     * @param route the route of the request
     * @param service the service
     * @param tried members that the request has been sent to
     * @param leftMillis the time left until the request's objective, in milliseconds
     * @param nowMillis the present time
     * @return the choice; empty where no member accepts requests for the service or all that do have been tried
     */
    Optional<Choice> choose(Route route, ServiceName service, Set<MemberId> tried, long leftMillis, long nowMillis) {
        List<MemberRow> candidates = candidates(route, service, nowMillis);
        Optional<MemberRow> choice = chooser.choose(candidates, tried, this::observedLoad, leftMillis, nowMillis);
        choice.ifPresent(chosen -> reportChoice(service, candidates, chosen, nowMillis));
        return choice.map(chosen -> new Choice(
                chosen, candidates.stream().anyMatch(c -> !c.id().equals(chosen.id()) && !tried.contains(c.id()))));
    }

    private void reportChoice(ServiceName service, List<MemberRow> candidates, MemberRow chosen, long nowMillis) {
        if (!chooser.method(candidates).equals(LocalityAwareSelector.METHOD)) {
            ReportedTargetLoad load = observedLoad(chosen.id());
            choiceListener.accept(
                    new TargetChoice(service, chooser.distance(chosen), load.isReported(), load.ageMillis(nowMillis)));
        }
    }

    /** Returns whether a member that accepts requests for the service has not been tried yet. */
    boolean hasUntriedMember(Route route, ServiceName service, Set<MemberId> tried, long nowMillis) {
        return candidates(route, service, nowMillis).stream().anyMatch(m -> !tried.contains(m.id()));
    }

    /** Returns the members that accept requests for the service. */
    List<MemberId> acceptingIds(ServiceName service, long nowMillis) {
        return acceptingMembers(service, nowMillis).stream().map(MemberRow::id).toList();
    }

    /** Returns whether a member's target has not said that it leaves. */
    boolean isStaying(MemberRow member, ServiceName service, long nowMillis) {
        return !isLeaving(member, service, 0, nowMillis);
    }

    /** Returns the members to which a request of a route for an undivided service may go. */
    List<MemberRow> candidates(Route route, ServiceName service, long nowMillis) {
        List<MemberRow> accepting = acceptingMembers(service, nowMillis);
        return route.allowedRegions().isRestricted()
                ? accepting.stream().filter(member -> permits(route, member)).toList()
                : accepting;
    }

    /** Returns why a member with a target of the service gets no requests of a route; null if it may get some. */
    String exclusion(Route route, MemberRow member, ServiceName service, long nowMillis) {
        if (evacuation.isEvacuated(member.failureDomain())) {
            return "evacuated";
        }
        if (!permits(route, member)) {
            return "region";
        }
        if (member.state() != MemberState.ALIVE || !member.acceptsWorkOf(service)) {
            return "not accepting";
        }
        return isStaying(member, service, nowMillis) ? null : "leaving";
    }

    /** Returns the members that accept requests for an undivided service; the same list until they change. */
    List<MemberRow> acceptingMembers(ServiceName service, long nowMillis) {
        List<MemberRow> accepting = clusterView.get().members().acceptingMembers(service);
        if (leaving.isEmpty()) {
            return accepting;
        }
        List<MemberRow> staying = accepting.stream()
                .filter(member -> isStaying(member, service, nowMillis))
                .toList();
        // The chooser prepares each list once, so an unchanged one is passed again.
        return filteredByService.merge(service, staying, (before, now) -> before.equals(now) ? before : now);
    }

    /** Returns the load that this router has observed at a member's target. */
    ReportedTargetLoad observedLoad(MemberId member) {
        return loadByMember.computeIfAbsent(member, m -> new ReportedTargetLoad());
    }

    /** Drops the observed loads of members that are not in {@code serving}. */
    void retainMembers(Set<MemberId> serving) {
        loadByMember.keySet().retainAll(serving);
    }

    /** Returns the number of serving routers, at least 1. */
    int routerCount() {
        return Math.max(1, clusterView.get().members().serving().size());
    }
}
