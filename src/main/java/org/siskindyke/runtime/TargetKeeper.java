package org.siskindyke.runtime;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.control.SliceTraffic;
import org.siskindyke.kernel.grant.DeregisteredTargets;
import org.siskindyke.kernel.grant.GrantReply;
import org.siskindyke.kernel.grant.TargetGrants;
import org.siskindyke.kernel.grant.TargetHeartbeat;
import org.siskindyke.kernel.id.SliceRef;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.ownership.OwnedSlice;
import org.siskindyke.kernel.route.ServiceSettings;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.traffic.BackendDispatcher;
import org.siskindyke.runtime.traffic.LocalTargetInfo;
import org.siskindyke.runtime.traffic.TrafficLoop;

/**
 * Follows the heartbeats of the backend server beside this router: announces it, grants it slices and stops new work
 * when it leaves. Confined to the control thread.
 */
final class TargetKeeper {
    /** Heartbeats that may be missing before a backend server is taken for lost. */
    private static final double MISSING_HEARTBEATS = 3;
    /** Heartbeats that may be missing where connections are refused too. */
    private static final double MISSING_HEARTBEATS_REFUSED = 1.2;
    /** Connections of a backend server whose service no configuration names yet. */
    private static final int DEFAULT_CONNECTIONS = 32;
    /** An acknowledgement has reached the backend server beside this router by then. */
    private static final long ACKNOWLEDGED_MILLIS = 5;
    /** Part of the drain time in which a leaving backend server's keys are still served while they move. */
    private static final double DRAIN_SHARE = 0.75;

    private final InstanceSettings settings;
    private final MonotonicClock clock;
    private final TrafficLoop traffic;
    private final BackendDispatcher gate;
    private final EventLog log;
    private final TargetGrants grants;
    private final DeregisteredTargets farewells = new DeregisteredTargets();
    private Duration drain;
    private TargetHeartbeat last;
    private InetSocketAddress address;
    private boolean divided;
    private boolean leaving;
    private boolean lost;
    private long heardMillis;
    private final long startedMillis;

    TargetKeeper(
            InstanceSettings settings,
            MonotonicClock clock,
            TrafficLoop traffic,
            BackendDispatcher gate,
            EventLog log,
            int slices,
            long longestHoldMillis) {
        this.settings = settings;
        this.drain = settings.bounds().drain();
        this.clock = clock;
        this.traffic = traffic;
        this.gate = gate;
        this.log = log;
        this.startedMillis = clock.nowMillis();
        this.grants = new TargetGrants(slices, longestHoldMillis, clock.nowMillis());
    }

    /** Changes how long a leaving backend server is served after its acknowledgement. */
    void setDrain(Duration changed) {
        drain = changed;
    }

    /** Returns what other routers are told of the backend server. */
    List<TargetAnnouncement> announcements() {
        if (last == null) {
            return List.of();
        }
        return List.of(new TargetAnnouncement(
                last.service(), last.target(), address.getHostString(), address.getPort(), !leaving && !lost, true));
    }

    GrantReply onHeartbeat(
            TargetHeartbeat heartbeat,
            InetSocketAddress announced,
            MemberController node,
            Optional<ServiceSettings> service) {
        long nowMillis = clock.nowMillis();
        if (!grants.isCurrent(heartbeat)) {
            log.event("heartbeat-outdated", "target", heartbeat.target(), "sequence", heartbeat.sequence());
            return GrantReply.NO_RENEWAL;
        }
        boolean newLife = last == null || last.startMillis() != heartbeat.startMillis();
        boolean saysLeaving = heartbeat.leaving() || farewells.isDeregistered(heartbeat);
        boolean newlyLeaving = saysLeaving && !(leaving && !newLife);
        divided = service.map(ServiceSettings::divided).orElse(false);
        address = announced;
        leaving = saysLeaving || leaving && !newLife;
        lost = false;
        heardMillis = nowMillis;
        last = heartbeat;
        if (newLife) {
            log.event("target-started", "target", heartbeat.target(), "service", heartbeat.service());
        }
        GrantReply reply = grants.onHeartbeat(heartbeat, owned(node), leaseEndMillis(node), nowMillis);
        node.setTargets(announcements());
        publish(heartbeat, service, newLife || newlyLeaving);
        return divided ? reply : GrantReply.NO_RENEWAL;
    }

    /** Returns the end of the lease; none before the own slices are known, since an answer lists all of them. */
    private static long leaseEndMillis(MemberController node) {
        return node.knowsOwnSlices() ? node.lease().leaseEndMillis() : Long.MIN_VALUE;
    }

    private List<OwnedSlice> owned(MemberController node) {
        return divided
                ? node.view().ownershipRow(last.service(), node.row().id()).slices()
                : List.of();
    }

    private void publish(TargetHeartbeat heartbeat, Optional<ServiceSettings> service, boolean stateChanged) {
        LocalTargetInfo target = new LocalTargetInfo(
                heartbeat.service(),
                heartbeat.target(),
                address,
                heartbeat.slots(),
                service.map(ServiceSettings::maxConnectionsPerTarget).orElse(DEFAULT_CONNECTIONS),
                divided);
        BitSet granted = grants.grantedSlices();
        long endMillis = grants.grantEndMillis();
        boolean stopNow = leaving && !divided;
        boolean stopSoon = leaving && divided && stateChanged;
        traffic.execute(() -> {
            gate.setTarget(target);
            gate.retainGrants(granted);
            if (stateChanged) {
                gate.setAccepting(!stopNow);
            }
        });
        traffic.schedule(() -> gate.setGrants(granted, endMillis), ACKNOWLEDGED_MILLIS);
        if (stopSoon) {
            stopAfterDrain(heartbeat);
        }
    }

    private void stopAfterDrain(TargetHeartbeat heartbeat) {
        long delayMillis = (long) (drain.toMillis() * DRAIN_SHARE);
        traffic.schedule(
                () -> {
                    LocalTargetInfo present = gate.target();
                    if (present != null && present.name().equals(heartbeat.target())) {
                        gate.setAccepting(false);
                    }
                },
                delayMillis);
    }

    void onDeregister(TargetName target, MemberController node) {
        if (last == null || !last.target().equals(target)) {
            log.event("deregister-unknown", "target", target);
            farewells.onDeregistration(target, System.currentTimeMillis());
            return;
        }
        log.event("target-deregistered", "target", target);
        if (leaving) {
            return;
        }
        leaving = true;
        node.setTargets(announcements());
        if (divided) {
            stopAfterDrain(last);
        } else {
            traffic.execute(() -> gate.setAccepting(false));
        }
    }

    /** Ends the member in order where the backend server has gone for good; else a successor takes over. */
    void onStopping(MemberController node) {
        if (last == null || leaving || lost) {
            node.leave();
        }
    }

    void onUnreachable(long nowMillis) {
        if (last != null && nowMillis - heardMillis > settings.heartbeat().toMillis() * MISSING_HEARTBEATS_REFUSED) {
            markLost("connections refused");
        }
    }

    void tick(MemberController node) {
        long nowMillis = clock.nowMillis();
        grants.tick(nowMillis);
        if (last == null) {
            giveUpUnheard(node, nowMillis);
            return;
        }
        boolean silent = nowMillis - heardMillis > settings.heartbeat().toMillis() * MISSING_HEARTBEATS;
        if (silent && !lost && isUseless(nowMillis)) {
            markLost("no heartbeats");
        }
        if (lost) {
            node.setTargets(announcements());
        }
    }

    /** Hands over what a predecessor left where its backend server does not return. */
    private void giveUpUnheard(MemberController node, long nowMillis) {
        boolean announced = node.row().targets().stream().anyMatch(TargetAnnouncement::accepting);
        if (announced && !lost && nowMillis >= grants.grantEndMillis()) {
            lost = true;
            log.event("target-unheard", "sinceMillis", nowMillis - startedMillis);
            node.setTargets(node.row().targets().stream()
                    .map(t -> new TargetAnnouncement(
                            t.service(), t.target(), t.host(), t.port(), false, t.checksGrants()))
                    .toList());
        }
    }

    private boolean isUseless(long nowMillis) {
        if (divided) {
            return nowMillis >= grants.grantEndMillis();
        }
        return nowMillis - gate.lastAnswerMillis() > settings.heartbeat().toMillis();
    }

    private void markLost(String reason) {
        if (!lost) {
            lost = true;
            log.event("target-lost", "target", last.target(), "reason", reason);
        }
    }

    /** Returns what stops and resumes calls of slices while they move. */
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
