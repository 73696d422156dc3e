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
 * Follows the announcements of the backend servers beside this router; for the control thread only.
 *
 * <p>A backend server that withdraws, or whose address refuses connections, takes no new work and its slices are handed
 * over. One that falls silent without refusing connections may be frozen: its slices are handed over only if it checks
 * grants, after the last grant has ended; otherwise it could run buffered calls when it returns.
 */
final class LocalTargets {
    private static final System.Logger LOGGER = System.getLogger(LocalTargets.class.getName());
    private static final long SILENT_AFTER_MILLIS = 1_500;

    /** A gap between ticks that shows that this process itself was not running. */
    private static final long PAUSE_MILLIS = 500;

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
        private long heardMillis;
        private long grantEndMillis = Long.MIN_VALUE;
        private long documentNumber;
        private boolean withdrawn;
    }

    /** Takes an announcement, which a backend server repeats every second. */
    void announce(TargetAnnouncement announcement, MemberController node) {
        Entry entry = entries.computeIfAbsent(announcement.service(), s -> new Entry());
        entry.heardMillis = clock.nowMillis();
        entry.withdrawn = false;
        if (!announcement.equals(entry.announcement)) {
            LOGGER.log(
                    Level.INFO,
                    "event=target-announced service=" + announcement.service() + " target=" + announcement.target()
                            + " address=" + announcement.host() + ":" + announcement.port() + " checksGrants="
                            + announcement.checksGrants());
            replace(entry, announcement, node);
        }
    }

    /** Stops new work of a target because its backend server asks for it. */
    void withdraw(ServiceName service, MemberController node) {
        Entry entry = entries.get(service);
        if (entry != null) {
            entry.withdrawn = true;
            stopWork(entry, "withdrawn", node);
        }
    }

    /** Stops new work of a target because its address refuses connections. */
    void onUnreachable(ServiceName service, MemberController node) {
        Entry entry = entries.get(service);
        if (entry != null) {
            stopWork(entry, "unreachable", node);
        }
    }

    /** Returns the announcements as the member's row should show them. */
    List<TargetAnnouncement> announcements() {
        List<TargetAnnouncement> all = new ArrayList<>();
        entries.values().forEach(e -> all.add(e.announcement));
        return all;
    }

    /** Tells whether a target is known. */
    Optional<TargetAnnouncement> find(ServiceName service) {
        return Optional.ofNullable(entries.get(service)).map(e -> e.announcement);
    }

    void tick(MemberController node, MemberServingState traffic) {
        long nowMillis = clock.nowMillis();
        if (nowMillis - lastTickMillis > PAUSE_MILLIS) {
            entries.values().forEach(entry -> entry.heardMillis = nowMillis);
        }
        lastTickMillis = nowMillis;
        for (Entry entry : List.copyOf(entries.values())) {
            followDocument(entry, node, nowMillis);
            if (isSilent(entry) && entry.announcement.checksGrants()) {
                stopWork(entry, "silent", node);
            }
            if (!entry.announcement.accepting()) {
                dropWhenEmpty(entry, node, traffic);
            }
        }
    }

    /** Renews the grants of the backend servers that check them. */
    void renewGrants(MemberServingState traffic) {
        long endMillis = traffic.leaseEndMillis();
        for (Entry entry : entries.values()) {
            if (entry.announcement.checksGrants() && !isSilent(entry) && endMillis > entry.grantEndMillis) {
                entry.grantEndMillis = endMillis;
                renewGrant(entry, new BackendClient.Grant(traffic.self(), 0, endMillis));
            }
        }
    }

    private void renewGrant(Entry entry, BackendClient.Grant grant) {
        dispatcher
                .target(entry.announcement.service())
                .ifPresent(target -> target.client()
                        .renewGrant(grant)
                        .whenOnComplete(() -> control.execute(() -> entry.heardMillis = clock.nowMillis()))
                        .onErrorComplete()
                        .subscribe());
    }

    private boolean isSilent(Entry entry) {
        return clock.nowMillis() - entry.heardMillis > SILENT_AFTER_MILLIS;
    }

    /** Returns the moment until which a frozen backend server of a service might still run calls. */
    long frozenUntilMillis(ServiceName service) {
        Entry entry = entries.get(service);
        return entry != null && isSilent(entry) ? entry.grantEndMillis : Long.MIN_VALUE;
    }

    private void stopWork(Entry entry, String reason, MemberController node) {
        TargetAnnouncement known = entry.announcement;
        if (!known.accepting()) {
            return;
        }
        LOGGER.log(
                Level.INFO,
                "event=target-stopped service=" + known.service() + " target=" + known.target() + " reason=" + reason);
        TargetAnnouncement stopped = new TargetAnnouncement(
                known.service(), known.target(), known.host(), known.port(), false, known.checksGrants());
        entry.announcement = stopped;
        dispatcher.target(known.service()).ifPresent(target -> target.setAccepting(false));
        node.setTargets(announcements());
    }

    private void replace(Entry entry, TargetAnnouncement announcement, MemberController node) {
        TargetAnnouncement before = entry.announcement;
        entry.announcement = announcement;
        Optional<AcceptedDocument> accepted = node.view().documents().get(announcement.service());
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
        node.setTargets(announcements());
    }

    private void followDocument(Entry entry, MemberController node, long nowMillis) {
        ServiceName service = entry.announcement.service();
        node.view().documents().get(service).ifPresent(accepted -> {
            if (accepted.documentRevision() != entry.documentNumber) {
                entry.documentNumber = accepted.documentRevision();
                dispatcher.target(service).ifPresent(t -> t.applyDocument(accepted.document(), nowMillis));
            }
        });
    }

    private void dropWhenEmpty(Entry entry, MemberController node, MemberServingState traffic) {
        ServiceName service = entry.announcement.service();
        boolean idle = dispatcher
                .target(service)
                .map(t -> t.slots().used() == 0 && t.slots().waiting() == 0)
                .orElse(true);
        if (idle && node.hasHandedOver(service) && (entry.withdrawn || traffic.callsInProgress() == 0)) {
            entries.remove(service);
            dispatcher.detach(service);
            node.setTargets(announcements());
        }
    }
}
