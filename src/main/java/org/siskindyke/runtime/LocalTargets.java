package org.siskindyke.runtime;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.siskindyke.kernel.control.MemberController;
import org.siskindyke.kernel.document.DocumentCatalog.AcceptedDocument;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.BackendClient;
import org.siskindyke.runtime.call.LocalDispatcher;
import org.siskindyke.runtime.call.LocalTarget;
import org.siskindyke.runtime.call.MemberServingState;

/**
 * Tracks the backend servers beside this router by their announcements. Confined to the control thread, except for
 * {@link #frozenUntilMillis}.
 *
 * <p>A backend server that withdraws, or whose address refuses connections, gets no new calls and its slices are handed
 * over. One that is silent, that is, neither announces itself nor responds to renewals of its grant, but whose address
 * does not refuse connections, may be frozen. If it checks grants, its slices are handed over after its last grant has
 * ended. If it does not, they are not handed over, since it could run buffered calls when it resumes.
 */
final class LocalTargets {
    private static final System.Logger LOGGER = System.getLogger(LocalTargets.class.getName());

    /** Time without contact after which a backend server is silent; announcements are usually repeated every second. */
    private static final long SILENT_AFTER_MILLIS = 1_500;

    /** Gap between ticks that shows that this process itself was paused, so that announcements may have been missed. */
    private static final long PROCESS_PAUSE_MILLIS = 500;

    private final MonotonicClock clock;
    private final ControlThread control;
    private final LocalDispatcher dispatcher;
    private final Map<ServiceName, Entry> entries = new HashMap<>();
    private long lastTickMillis;

    LocalTargets(MonotonicClock clock, ControlThread control, LocalDispatcher dispatcher) {
        this.clock = clock;
        this.control = control;
        this.dispatcher = dispatcher;
    }

    private static final class Entry {
        private TargetAnnouncement announcement;
        private long lastContactMillis;
        private long grantEndMillis = Long.MIN_VALUE;
        private long documentRevision;
        private boolean withdrawn;
    }

    /** Handles an announcement, whether it is the first of a backend server or a repeated one. */
    void announce(TargetAnnouncement announcement, MemberController member) {
        Entry entry = entries.computeIfAbsent(announcement.service(), s -> new Entry());
        entry.lastContactMillis = clock.nowMillis();
        entry.withdrawn = false;
        if (!announcement.equals(entry.announcement)) {
            LOGGER.log(
                    Level.INFO,
                    "event=target-announced service=" + announcement.service() + " target=" + announcement.target()
                            + " address=" + announcement.host() + ":" + announcement.port() + " checksGrants="
                            + announcement.checksGrants());
            replace(entry, announcement, member);
        }
    }

    /** Stops new calls to the backend server of a service at its own request. */
    void withdraw(ServiceName service, MemberController member) {
        Entry entry = entries.get(service);
        if (entry != null) {
            entry.withdrawn = true;
            stopWork(entry, "withdrawn", member);
        }
    }

    /** Stops new calls to the backend server of a service because its address refuses connections. */
    void onUnreachable(ServiceName service, MemberController member) {
        Entry entry = entries.get(service);
        if (entry != null) {
            stopWork(entry, "unreachable", member);
        }
    }

    /** Returns the announcements to be published in the member's row. */
    List<TargetAnnouncement> announcements() {
        List<TargetAnnouncement> all = new ArrayList<>();
        entries.values().forEach(e -> all.add(e.announcement));
        return all;
    }

    /** Returns the announcement of the backend server of a service; empty if none is known. */
    Optional<TargetAnnouncement> find(ServiceName service) {
        return Optional.ofNullable(entries.get(service)).map(e -> e.announcement);
    }

    void tick(MemberController member, MemberServingState servingState) {
        long nowMillis = clock.nowMillis();
        if (nowMillis - lastTickMillis > PROCESS_PAUSE_MILLIS) {
            entries.values().forEach(entry -> entry.lastContactMillis = nowMillis);
        }
        lastTickMillis = nowMillis;
        for (Entry entry : List.copyOf(entries.values())) {
            applyDocument(entry, member, nowMillis);
            if (isSilent(entry) && entry.announcement.checksGrants()) {
                stopWork(entry, "silent", member);
            }
            if (!entry.announcement.accepting()) {
                removeWhenIdle(entry, member, servingState);
            }
        }
    }

    /** Extends the grants of the backend servers that check grants to the end of the lease. */
    void renewGrants(MemberServingState servingState) {
        long endMillis = servingState.leaseEndMillis();
        for (Entry entry : entries.values()) {
            if (entry.announcement.checksGrants() && !isSilent(entry) && endMillis > entry.grantEndMillis) {
                entry.grantEndMillis = endMillis;
                renewGrant(entry, new BackendClient.Grant(servingState.self(), 0, endMillis));
            }
        }
    }

    private void renewGrant(Entry entry, BackendClient.Grant grant) {
        dispatcher
                .target(entry.announcement.service())
                .ifPresent(target -> target.client()
                        .renewGrant(grant)
                        .whenOnComplete(() -> control.execute(() -> entry.lastContactMillis = clock.nowMillis()))
                        .onErrorComplete()
                        .subscribe());
    }

    private boolean isSilent(Entry entry) {
        return clock.nowMillis() - entry.lastContactMillis > SILENT_AFTER_MILLIS;
    }

    /**
     * Returns the time, by the monotonic clock in milliseconds, until which a frozen backend server of a service might
     * still run calls; {@link Long#MIN_VALUE} if it is not silent or was never granted anything. Called on the control
     * thread or on the thread that ends the last call of a slice that is handed over.
     */
    long frozenUntilMillis(ServiceName service) {
        Entry entry = entries.get(service);
        return entry != null && isSilent(entry) ? entry.grantEndMillis : Long.MIN_VALUE;
    }

    private void stopWork(Entry entry, String reason, MemberController member) {
        TargetAnnouncement current = entry.announcement;
        if (!current.accepting()) {
            return;
        }
        LOGGER.log(
                Level.INFO,
                "event=target-stopped service=" + current.service() + " target=" + current.target() + " reason="
                        + reason);
        TargetAnnouncement stopped = new TargetAnnouncement(
                current.service(), current.target(), current.host(), current.port(), false, current.checksGrants());
        entry.announcement = stopped;
        dispatcher.target(current.service()).ifPresent(target -> target.setAccepting(false));
        member.setTargets(announcements());
    }

    private void replace(Entry entry, TargetAnnouncement announcement, MemberController member) {
        TargetAnnouncement before = entry.announcement;
        entry.announcement = announcement;
        Optional<AcceptedDocument> accepted = member.view().documents().get(announcement.service());
        Optional<LocalTarget> attached = dispatcher.target(announcement.service());
        boolean sameServer = before != null
                && before.host().equals(announcement.host())
                && before.port() == announcement.port()
                && before.target().equals(announcement.target())
                && before.checksGrants() == announcement.checksGrants();
        if (sameServer && attached.isPresent()) {
            attached.get().setAccepting(true);
        } else {
            dispatcher.attach(new LocalTarget(
                    announcement, accepted.map(AcceptedDocument::document).orElse(null)));
        }
        member.setTargets(announcements());
    }

    private void applyDocument(Entry entry, MemberController member, long nowMillis) {
        ServiceName service = entry.announcement.service();
        member.view().documents().get(service).ifPresent(accepted -> {
            if (accepted.documentRevision() != entry.documentRevision) {
                entry.documentRevision = accepted.documentRevision();
                dispatcher.target(service).ifPresent(t -> t.applyDocument(accepted.document(), nowMillis));
            }
        });
    }

    /**
     * Removes a backend server that accepts no new calls, once none runs or waits at it and its slices are handed over.
     * If it has not withdrawn itself, also waits until no call is in progress at any backend server.
     */
    private void removeWhenIdle(Entry entry, MemberController member, MemberServingState servingState) {
        ServiceName service = entry.announcement.service();
        boolean idle = dispatcher
                .target(service)
                .map(t -> t.slots().used() == 0 && t.slots().waiting() == 0)
                .orElse(true);
        if (idle && member.hasHandedOver(service) && (entry.withdrawn || servingState.callsInProgress() == 0)) {
            entries.remove(service);
            dispatcher.detach(service);
            member.setTargets(announcements());
        }
    }
}
