package org.siskindyke.runtime;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.siskindyke.kernel.balance.LeavingTargets;
import org.siskindyke.kernel.call.WarmUpPace;
import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.control.SliceTraffic;
import org.siskindyke.kernel.crash.TargetIncarnation;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.grant.GrantReply;
import org.siskindyke.kernel.grant.TargetGrants;
import org.siskindyke.kernel.grant.TargetHeartbeat;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.membership.TargetDeparture;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.place.Evacuation;
import org.siskindyke.kernel.route.ServiceSettings;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.kernel.time.WallClock;
import org.siskindyke.runtime.traffic.BackendDispatcher;
import org.siskindyke.runtime.traffic.LocalTargetInfo;
import org.siskindyke.runtime.traffic.TrafficLoop;

/**
 * Tracks the backend server beside this router by its heartbeats: announces it to other routers, grants it slices and
 * stops new calls to it when it leaves. Confined to the control thread.
 */
final class TargetController {
    /** Heartbeat intervals of silence after which a backend server that no longer serves is marked lost. */
    private static final double LOST_AFTER_HEARTBEATS = 3;
    /** Heartbeat intervals of silence after which a backend server that cannot be reached is marked lost. */
    private static final double LOST_AFTER_HEARTBEATS_WHEN_REFUSED = 1.2;
    /** Maximum connections to a backend server whose service no configuration names yet. */
    private static final int DEFAULT_CONNECTIONS = 32;
    /** Time after which the reply to a heartbeat has reached the backend server on the same host. */
    private static final long ACKNOWLEDGEMENT_MILLIS = 5;

    /** Time that a heartbeat sent before the end of an evacuation was known may be under way on the same host. */
    private static final long HEARTBEAT_DELIVERY_MILLIS = 50;

    private final InstanceSettings settings;
    private final MonotonicClock clock;
    private final WallClock wallClock;
    private final TrafficLoop traffic;
    private final BackendDispatcher backend;
    private final TargetCrashes crashes;
    private final EventLog log;
    private final TargetGrants grants;
    private final TargetDepartures departures;
    private final DeferredReply deferredReply;
    private Duration drain;
    private TargetHeartbeat lastHeartbeat;
    private InetSocketAddress address;
    private boolean divided;
    private boolean leaving;
    private boolean lost;
    /** Whether a heartbeat was replied to with a grant since this router started. */
    private boolean hasGranted;
    /** When a backend server of a divided service that leaves stops taking new calls. */
    private long servesUntilMillis;
    /** Whether the dispatcher was last told that the backend server takes new calls. */
    private boolean accepting;

    /** Whether the failure domain is evacuated. */
    private boolean evacuated;
    /** When slices that move out of the evacuated failure domain are no longer served. */
    private long evacuatedServesUntilMillis;
    /** Whether slices can move out of the evacuated failure domain. */
    private boolean canMoveSlices;
    /**
     * Until when heartbeats may have been sent before the end of an evacuation was known; {@link Long#MIN_VALUE} once a
     * later one has arrived.
     */
    private long unusedUntilMillis = Long.MIN_VALUE;

    /** Whether the calls to the backend server were spaced, as it was cold, at its last heartbeat. */
    private boolean paced;
    /** When the backend server is warm, by its last heartbeat. */
    private long coldUntilMillis = Long.MIN_VALUE;

    private long lastHeartbeatMillis;
    private final long startMillis;

    TargetController(
            InstanceSettings settings,
            MonotonicClock clock,
            WallClock wallClock,
            TrafficLoop traffic,
            BackendDispatcher backend,
            TargetCrashes crashes,
            EventLog log,
            TargetGrants grants) {
        this.settings = settings;
        this.drain = settings.bounds().drain();
        this.clock = clock;
        this.wallClock = wallClock;
        this.traffic = traffic;
        this.backend = backend;
        this.crashes = crashes;
        this.log = log;
        this.startMillis = clock.nowMillis();
        this.grants = grants;
        this.departures = new TargetDepartures(settings, clock, log);
        this.deferredReply = new DeferredReply(clock, settings.heartbeat());
    }

    /** Sets the drain time, within which a leaving backend server stops getting new calls. */
    void setDrain(Duration changed) {
        drain = changed;
    }

    /** Returns the departures to record in the row of this router's member. */
    List<TargetDeparture> departures() {
        return departures.all();
    }

    /**
     * Returns the announcement of the backend server to other routers; empty before its first heartbeat, and until it
     * is known which backend servers have left.
     */
    List<TargetAnnouncement> announcements() {
        if (lastHeartbeat == null || !departures.areKnown()) {
            return List.of();
        }
        return List.of(new TargetAnnouncement(
                lastHeartbeat.service(),
                lastHeartbeat.target(),
                address.getHostString(),
                address.getPort(),
                !leaving && !lost && !isOutOfUse(),
                true));
    }

    /** Returns whether the failure domain is evacuated, or was and no heartbeat has come since. */
    private boolean isOutOfUse() {
        return evacuated || unusedUntilMillis != Long.MIN_VALUE;
    }

    /**
     * Stops to use the backend server if its failure domain is evacuated. Once it no longer is, the backend server is
     * used again after its next heartbeat, since it may be cold.
     */
    void setEvacuation(Evacuation inForce, MemberController member) {
        boolean now = inForce.isEvacuated(settings.failureDomain());
        evacuatedServesUntilMillis = inForce.servedUntilMillis(
                        settings.failureDomain(),
                        settings.deployment().evacuation().toMillis())
                .orElse(0L);
        if (now == evacuated) {
            return;
        }
        evacuated = now;
        unusedUntilMillis = now ? Long.MIN_VALUE : clock.nowMillis() + HEARTBEAT_DELIVERY_MILLIS;
        log.event(now ? "evacuation-begun" : "evacuation-ended", "failureDomain", settings.failureDomain());
        if (lastHeartbeat != null) {
            member.setTargets(announcements());
            updateCanMoveSlices(member);
            updateAccepting(clock.nowMillis());
        }
    }

    private void updateCanMoveSlices(MemberController member) {
        canMoveSlices = evacuated
                && !member.view()
                        .members()
                        .acceptingMembers(lastHeartbeat.service())
                        .isEmpty();
    }

    /** Applies the limit of a cold backend server that a newer configuration names. */
    void onConfiguration(Function<ServiceName, Optional<ServiceSettings>> serviceSettings) {
        if (lastHeartbeat != null) {
            WarmUpPace.Limit limit = warmUpLimit(serviceSettings.apply(lastHeartbeat.service()));
            long untilMillis = coldUntilMillis;
            traffic.execute(() -> backend.setWarmUp(limit, untilMillis));
        }
    }

    private void logWarmUp(TargetHeartbeat heartbeat, WarmUpPace.Limit limit) {
        boolean nowPaced = limit.callsPerSecond() > 0 && heartbeat.remainingWarmUpMillis() > 0;
        if (nowPaced != paced) {
            paced = nowPaced;
            log.event(
                    nowPaced ? "target-cold" : "target-warm",
                    "target",
                    heartbeat.target(),
                    "leftMillis",
                    heartbeat.remainingWarmUpMillis(),
                    "callsPerSecond",
                    limit.callsPerSecond());
        }
    }

    private WarmUpPace.Limit warmUpLimit(Optional<ServiceSettings> serviceSettings) {
        double callsPerSecond =
                serviceSettings.map(ServiceSettings::coldCallsPerSecond).orElse(0.0);
        return callsPerSecond <= 0
                ? WarmUpPace.Limit.NONE
                : new WarmUpPace.Limit(
                        callsPerSecond * settings.deployment().coldExcessRatio(),
                        settings.deployment().coldExtraRequests());
    }

    /**
     * Processes a heartbeat: announces the backend server to other routers and decides which slices it is granted.
     *
     * @param heartbeat the heartbeat; if it is not newer than the last one, it is logged and has no other effect
     * @param announcedAddress address at which the backend server accepts requests
     * @param member this router's current member
     * @param serviceSettings settings of the backend server's service; empty if the configuration does not name it, in
     *     which case it is treated as undivided
     * @return the grant; {@link GrantReply#NO_RENEWAL} if the heartbeat is outdated, the service is undivided or the
     *     lease leaves no time for a grant
     * @throws SiskindykeException with code {@code INVALID_REQUEST} for a heartbeat that names no backend server which
     *     can be beside this router: its start is later than any clock of the fleet can show now, or neither the
     *     settings nor the configuration name its service
     */
    GrantReply onHeartbeat(
            TargetHeartbeat heartbeat,
            InetSocketAddress announcedAddress,
            MemberController member,
            Optional<ServiceSettings> serviceSettings) {
        checkPlausible(heartbeat, serviceSettings.isPresent());
        long nowMillis = clock.nowMillis();
        if (!grants.isCurrent(heartbeat)) {
            log.event("heartbeat-outdated", "target", heartbeat.target(), "sequence", heartbeat.sequence());
            return GrantReply.NO_RENEWAL;
        }
        Long previousStartMillis = lastHeartbeat == null ? null : lastHeartbeat.startMillis();
        boolean newIncarnation = lastHeartbeat == null || lastHeartbeat.startMillis() != heartbeat.startMillis();
        if (heartbeat.leaving()) {
            departures.record(departureOf(heartbeat), member);
        }
        boolean announcedLeaving = departures.contains(heartbeat);
        boolean newlyLeaving = announcedLeaving && !(leaving && !newIncarnation);
        divided = serviceSettings.map(ServiceSettings::divided).orElse(false);
        address = announcedAddress;
        leaving = announcedLeaving || leaving && !newIncarnation;
        lost = false;
        lastHeartbeatMillis = nowMillis;
        lastHeartbeat = heartbeat;
        coldUntilMillis = nowMillis + heartbeat.remainingWarmUpMillis();
        if (nowMillis >= unusedUntilMillis) {
            unusedUntilMillis = Long.MIN_VALUE;
        }
        if (newIncarnation) {
            log.event(
                    "target-started",
                    "target",
                    heartbeat.target(),
                    "service",
                    heartbeat.service(),
                    "startMillis",
                    heartbeat.startMillis(),
                    "previousStartMillis",
                    previousStartMillis);
        }
        GrantReply reply = grants.onHeartbeat(heartbeat, ownedSlices(member), leaseEndMillis(member), nowMillis);
        hasGranted |= divided && reply.renews();
        member.setTargets(announcements());
        if (newlyLeaving) {
            beginDrain(nowMillis);
        }
        updateDispatcher(heartbeat, serviceSettings);
        return divided ? reply : GrantReply.NO_RENEWAL;
    }

    /**
     * Calls back once a heartbeat may be acknowledged: one that says that the backend server leaves, once this is
     * recorded; any other at once.
     *
     * @param heartbeat a heartbeat that {@link #onHeartbeat} has processed
     * @param onAcknowledged runs once it may be acknowledged
     * @param onUnrecorded receives an error, instead, if recording takes too long
     */
    void acknowledge(
            TargetHeartbeat heartbeat,
            MemberController member,
            Runnable onAcknowledged,
            Consumer<SiskindykeException> onUnrecorded) {
        if (heartbeat.leaving()) {
            departures.acknowledge(departureOf(heartbeat), onAcknowledged, onUnrecorded, member);
        } else {
            onAcknowledged.run();
        }
    }

    /**
     * Replies to a heartbeat that may be acknowledged. If it was not granted anything because this router has only just
     * started and its member has not joined or has no lease yet, first waits for that.
     *
     * @param heartbeat a heartbeat that {@link #onHeartbeat} has processed
     * @param reply what {@link #onHeartbeat} has returned
     * @param currentMember returns this router's member
     * @param serviceSettings returns the settings of the backend server's service; empty if no configuration names it
     * @param onReply receives the reply
     */
    void reply(
            TargetHeartbeat heartbeat,
            GrantReply reply,
            Supplier<MemberController> currentMember,
            Supplier<Optional<ServiceSettings>> serviceSettings,
            Consumer<GrantReply> onReply) {
        boolean undivided =
                serviceSettings.get().filter(service -> !service.divided()).isPresent();
        if (reply.renews() || undivided || heartbeat != lastHeartbeat || leaving || hasGranted) {
            onReply.accept(reply);
            return;
        }
        long receivedMillis = lastHeartbeatMillis;
        deferredReply.await(
                () -> renew(heartbeat, receivedMillis, currentMember.get(), serviceSettings.get()), onReply);
    }

    /** Returns the grant for a heartbeat that was received before; none if another has been received since. */
    private GrantReply renew(
            TargetHeartbeat heartbeat,
            long receivedMillis,
            MemberController member,
            Optional<ServiceSettings> serviceSettings) {
        boolean isDivided = serviceSettings.map(ServiceSettings::divided).orElse(false);
        if (heartbeat != lastHeartbeat || leaving || !isDivided || leaseEndMillis(member) <= clock.nowMillis()) {
            return GrantReply.NO_RENEWAL;
        }
        divided = true;
        GrantReply reply = grants.onHeartbeat(heartbeat, ownedSlices(member), leaseEndMillis(member), receivedMillis);
        hasGranted = reply.renews();
        updateDispatcher(heartbeat, serviceSettings);
        return reply;
    }

    private static TargetDeparture departureOf(TargetHeartbeat heartbeat) {
        return new TargetDeparture(heartbeat.target(), heartbeat.startMillis());
    }

    private void checkPlausible(TargetHeartbeat heartbeat, boolean configured) {
        // Both this clock and the one that showed the start time may be off.
        long skewMillis = 2 * settings.bounds().maxClockSkew().toMillis();
        if (!grants.isPlausible(heartbeat, wallClock.nowMillis() + skewMillis)) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_REQUEST, "heartbeat of a start in the future: " + heartbeat.startMillis());
        }
        if (!configured && !heartbeat.service().equals(settings.service())) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_REQUEST, "heartbeat of an unknown service: " + heartbeat.service());
        }
    }

    /**
     * Returns the end of the lease; {@link Long#MIN_VALUE} while the member does not know all slices it owns, since a
     * reply must list all of them.
     */
    private static long leaseEndMillis(MemberController member) {
        return member.knowsOwnSlices() ? member.lease().leaseEndMillis() : Long.MIN_VALUE;
    }

    private List<OwnedSlice> ownedSlices(MemberController member) {
        return divided
                ? member.view()
                        .ownedSlices(lastHeartbeat.service(), member.row().id())
                : List.of();
    }

    /**
     * Passes the backend server's state to the dispatcher. Slices that are no longer granted get no calls from now on;
     * new grants apply once the reply to the heartbeat has reached the backend server.
     */
    private void updateDispatcher(TargetHeartbeat heartbeat, Optional<ServiceSettings> serviceSettings) {
        LocalTargetInfo target = new LocalTargetInfo(
                heartbeat.service(),
                heartbeat.target(),
                heartbeat.startMillis(),
                address,
                heartbeat.slots(),
                serviceSettings.map(ServiceSettings::maxConnectionsPerTarget).orElse(DEFAULT_CONNECTIONS),
                divided);
        BitSet granted = grants.grantedSlices();
        long endMillis = grants.grantEndMillis();
        TargetIncarnation incarnation = new TargetIncarnation(heartbeat.target(), heartbeat.startMillis());
        boolean isLeaving = leaving;
        boolean accepts = acceptsCalls(lastHeartbeatMillis);
        accepting = accepts;
        WarmUpPace.Limit warmUp = warmUpLimit(serviceSettings);
        logWarmUp(heartbeat, warmUp);
        long coldUntil = coldUntilMillis;
        traffic.execute(() -> {
            backend.setTarget(target);
            backend.setWarmUp(warmUp, coldUntil);
            backend.retainGrants(granted);
            backend.setTargetAccepting(accepts);
            // By now the dispatcher has reported the calls that a previous incarnation left unanswered.
            crashes.onHeartbeat(incarnation, isLeaving);
        });
        traffic.schedule(() -> backend.setGrants(granted, endMillis), ACKNOWLEDGEMENT_MILLIS);
    }

    /**
     * Returns whether the backend server takes new calls. One that leaves takes none, or, if its service is divided,
     * those of a part of the drain time, in which its slices move; likewise if its failure domain is evacuated. It
     * takes none until it is known which have left.
     */
    private boolean acceptsCalls(long nowMillis) {
        boolean leavingAccepts = !leaving || divided && nowMillis < servesUntilMillis;
        boolean evacuatedAccepts = !isOutOfUse() || divided && canMoveSlices && nowMillis < evacuatedServesUntilMillis;
        return departures.areKnown() && leavingAccepts && evacuatedAccepts;
    }

    /** Passes on whether the backend server takes new calls, if that has changed. */
    private void updateAccepting(long nowMillis) {
        boolean accepts = acceptsCalls(nowMillis);
        if (accepts != accepting) {
            accepting = accepts;
            traffic.execute(() -> backend.setTargetAccepting(accepts));
        }
    }

    private void beginDrain(long nowMillis) {
        servesUntilMillis = nowMillis + (long) (drain.toMillis() * LeavingTargets.SERVED_SHARE_OF_DRAIN);
    }

    /**
     * Stops new calls to a backend server that deregisters: at once, or after a part of the drain time if its service
     * is divided. If the last heartbeat is not from this backend server, its departure applies to heartbeats of it that
     * arrive later.
     *
     * @param onRecorded runs once the departure is recorded
     * @param onUnrecorded receives an error, instead, if that takes too long
     */
    void onDeregister(
            TargetName target,
            MemberController member,
            Runnable onRecorded,
            Consumer<SiskindykeException> onUnrecorded) {
        boolean present = lastHeartbeat != null && lastHeartbeat.target().equals(target);
        TargetDeparture departure =
                present ? departureOf(lastHeartbeat) : new TargetDeparture(target, wallClock.nowMillis());
        log.event(present ? "target-deregistered" : "deregister-unknown", "target", target);
        departures.record(departure, member);
        if (present) {
            startLeaving(member);
        }
        departures.acknowledge(departure, onRecorded, onUnrecorded, member);
    }

    /** Stops new calls to a backend server whose responses say that it leaves, as after a deregistration. */
    void onLeavingAnnounced(TargetIncarnation target, MemberController member) {
        boolean present = lastHeartbeat != null
                && target.equals(new TargetIncarnation(lastHeartbeat.target(), lastHeartbeat.startMillis()));
        if (present && !leaving) {
            log.event("target-leaving-announced", "target", target);
            startLeaving(member);
        }
    }

    private void startLeaving(MemberController member) {
        if (leaving) {
            return;
        }
        leaving = true;
        crashes.onLeaving();
        member.setTargets(announcements());
        beginDrain(clock.nowMillis());
        updateAccepting(clock.nowMillis());
    }

    /**
     * Lets the member leave and hand its slices over, if its backend server is lost or leaving or has sent no heartbeat
     * to this process. Otherwise the member keeps them until the router's next incarnation takes them over.
     */
    void onStopping(MemberController member) {
        if (lastHeartbeat == null || leaving || lost) {
            member.leave();
        }
    }

    /** Marks the backend server lost if a call could not be sent to it and its heartbeat is overdue. */
    void onUnreachable(long nowMillis) {
        if (lastHeartbeat != null
                && nowMillis - lastHeartbeatMillis
                        > settings.heartbeat().toMillis() * LOST_AFTER_HEARTBEATS_WHEN_REFUSED) {
            markLost("connections refused");
        }
    }

    void tick(MemberController member) {
        long nowMillis = clock.nowMillis();
        grants.tick(nowMillis);
        deferredReply.tick();
        if (departures.tick(member)) {
            onDeparturesRead(member);
        }
        if (lastHeartbeat != null) {
            updateCanMoveSlices(member);
        }
        updateAccepting(nowMillis);
        if (lastHeartbeat == null) {
            markInheritedTargetsLost(member, nowMillis);
            return;
        }
        boolean silent = nowMillis - lastHeartbeatMillis > settings.heartbeat().toMillis() * LOST_AFTER_HEARTBEATS;
        if (silent && !lost && isUnableToServe(nowMillis)) {
            markLost("no heartbeats");
        }
        if (lost) {
            member.setTargets(announcements());
        }
    }

    /** Starts to use the backend server that sends heartbeats, or stops to if it has reported that it leaves. */
    private void onDeparturesRead(MemberController member) {
        if (lastHeartbeat == null) {
            return;
        }
        if (departures.contains(lastHeartbeat) && !leaving) {
            log.event("target-left-before", "target", lastHeartbeat.target());
            startLeaving(member);
        }
        member.setTargets(announcements());
    }

    /**
     * Announces the targets of this router's previous incarnation as not accepting, so that their slices are handed
     * over, if no heartbeat has been received by the time that their last grants have ended.
     */
    private void markInheritedTargetsLost(MemberController member, long nowMillis) {
        boolean announced = member.row().targets().stream().anyMatch(TargetAnnouncement::accepting);
        if (announced && !lost && nowMillis >= grants.grantEndMillis()) {
            lost = true;
            log.event("target-unheard", "sinceMillis", nowMillis - startMillis);
            member.setTargets(member.row().targets().stream()
                    .map(t -> new TargetAnnouncement(
                            t.service(), t.target(), t.host(), t.port(), false, t.checksGrants()))
                    .toList());
        }
    }

    /**
     * Returns whether a silent backend server is assumed not to serve: for a divided service, its last grant has ended;
     * for an undivided one, it has sent no response within one heartbeat interval, not counting refusals to run a call.
     */
    private boolean isUnableToServe(long nowMillis) {
        if (divided) {
            return nowMillis >= grants.grantEndMillis();
        }
        return nowMillis - backend.lastAnswerMillis() > settings.heartbeat().toMillis();
    }

    private void markLost(String reason) {
        if (!lost) {
            lost = true;
            log.event("target-lost", "target", lastHeartbeat.target(), "reason", reason);
        }
    }

    /** Returns the operations that pause and resume the calls of slices while they move. */
    SliceTraffic sliceTraffic() {
        return new SliceTraffic() {
            @Override
            public void pause(Collection<SliceRef> refs, Runnable whenIdle) {
                grants.revoke(indexes(refs), clock.nowMillis(), whenIdle);
            }

            @Override
            public void resume(Collection<SliceRef> refs) {
                grants.cancelRevocations(indexes(refs));
            }

            @Override
            public String handoverState(SliceRef slice) {
                return grants.handover(slice.index());
            }
        };
    }

    private static Set<Integer> indexes(Collection<SliceRef> refs) {
        Set<Integer> indexes = new HashSet<>();
        refs.forEach(ref -> indexes.add(ref.index()));
        return indexes;
    }
}
