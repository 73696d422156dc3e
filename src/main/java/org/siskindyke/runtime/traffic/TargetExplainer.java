package org.siskindyke.runtime.traffic;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.siskindyke.kernel.balance.ReportedTargetLoad;
import org.siskindyke.kernel.balance.ServerLoad;
import org.siskindyke.kernel.balance.TargetChooser;
import org.siskindyke.kernel.balance.TargetLoadReport;
import org.siskindyke.kernel.control.ClusterView;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.ownership.SliceOwner;
import org.siskindyke.kernel.route.Route;

/** Explains the choices of a {@link TargetSelector} without sending anything. Confined to the traffic loop. */
final class TargetExplainer {
    private final Supplier<ClusterView> clusterView;
    private final TargetChooser chooser;
    private final TargetSelector targets;

    TargetExplainer(Supplier<ClusterView> clusterView, TargetChooser chooser, TargetSelector targets) {
        this.clusterView = clusterView;
        this.chooser = chooser;
        this.targets = targets;
    }

    /**
     * Explains where a request for an undivided service would go. Draws as a request would where the choice is random,
     * so two explanations may name different members.
     */
    RequestExplanation.Service undivided(Route route, ServiceName service, double weight, long nowMillis) {
        long objectiveMillis = route.objectiveMillis();
        List<MemberRow> accepting = targets.candidates(route, service, nowMillis);
        Optional<MemberRow> chosen =
                chooser.choose(accepting, Set.of(), targets::observedLoad, objectiveMillis, nowMillis);
        List<RequestExplanation.Candidate> candidates = clusterView.get().members().serving().stream()
                .filter(member -> member.targetOf(service).isPresent())
                .sorted(Comparator.comparing(chooser::distance).thenComparing(MemberRow::id))
                .map(member -> candidate(route, member, service, accepting, nowMillis))
                .toList();
        return new RequestExplanation.Service(
                service.value(),
                weight,
                false,
                null,
                null,
                chooser.method(accepting),
                chosen.map(member -> member.id().value()).orElse(null),
                chosen.map(member -> reasonFor(member, accepting, objectiveMillis, nowMillis))
                        .orElse("no member accepts requests for the service"),
                candidates);
    }

    private String reasonFor(MemberRow chosen, List<MemberRow> accepting, long objectiveMillis, long nowMillis) {
        ReportedTargetLoad load = targets.observedLoad(chosen.id());
        boolean inTime = chooser.expectedMillis(accepting, chosen, load, nowMillis) <= objectiveMillis;
        String place =
                switch (chooser.distance(chosen)) {
                    case SAME_DOMAIN -> "in the own failure domain";
                    case SAME_REGION -> "in another failure domain of the region";
                    case OTHER_REGION -> "in another region";
                };
        String avoided = load.isAvoided(nowMillis) ? ", avoided as all others are" : "";
        return "expected to be " + (inTime ? "in time " : "late ") + place + avoided;
    }

    /**
     * Explains where a request for a key of a divided service would go.
     *
     * @param slice the slice of the key; null where the request has no key or the slices are not known
     */
    RequestExplanation.Service divided(
            Route route, ServiceName service, double weight, SliceRef slice, long nowMillis) {
        if (slice == null) {
            return new RequestExplanation.Service(
                    service.value(),
                    weight,
                    true,
                    null,
                    null,
                    null,
                    null,
                    "the request has no key, or the slices of the service are not known",
                    List.of());
        }
        Optional<SliceOwner> known = clusterView.get().ownership().owner(slice).filter(owner -> owner.member() != null);
        Optional<MemberRow> owner = known.flatMap(o -> serving(o.member()));
        Optional<MemberRow> chosen = targets.owner(slice, nowMillis).filter(member -> targets.permits(route, member));
        return new RequestExplanation.Service(
                service.value(),
                weight,
                true,
                slice.index(),
                known.map(SliceOwner::generation).orElse(null),
                null,
                chosen.map(member -> member.id().value()).orElse(null),
                chosen.isPresent()
                        ? "owner of the slice"
                        : owner.isPresent()
                                ? "the owner of the slice gets no requests of the route"
                                : "the slice has no serving owner",
                owner.map(member -> candidate(route, member, service, List.of(member), nowMillis)).stream()
                        .toList());
    }

    private Optional<MemberRow> serving(MemberId member) {
        return clusterView.get().members().serving(member);
    }

    private RequestExplanation.Candidate candidate(
            Route route, MemberRow member, ServiceName service, List<MemberRow> candidates, long nowMillis) {
        ReportedTargetLoad load = targets.observedLoad(member.id());
        String exclusion = targets.exclusion(route, member, service, nowMillis);
        return new RequestExplanation.Candidate(
                member.id().value(),
                member.targetOf(service).map(target -> target.target().value()).orElse(null),
                member.failureDomain().value(),
                chooser.distance(member).name(),
                exclusion == null && load.isAvoided(nowMillis) ? "avoided" : exclusion,
                Math.round(chooser.expectedMillis(candidates, member, load, nowMillis)),
                load.inFlight(),
                load.isReported() ? report(load, nowMillis) : null);
    }

    private static RequestExplanation.Load report(ReportedTargetLoad load, long nowMillis) {
        TargetLoadReport report = load.report();
        ServerLoad server = report.server();
        return new RequestExplanation.Load(
                load.ageMillis(nowMillis),
                report.slots(),
                report.busy(),
                report.waiting(),
                report.millisPerCall(),
                report.intervalMillis(),
                server == null ? null : server.running(),
                server == null ? null : server.waiting(),
                server == null ? null : server.slownessPercent());
    }
}
