package org.siskindyke.runtime;

import java.util.function.BiPredicate;
import java.util.function.Consumer;

import org.siskindyke.kernel.control.ConfigurationText;
import org.siskindyke.kernel.control.ControlListener;
import org.siskindyke.kernel.control.PlacementDecision;
import org.siskindyke.kernel.crash.SuspectReport;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.place.EvacuationOrders;
import org.siskindyke.kernel.table.RowPath;

/** Logs the events of a member and notifies its router of those it acts on. Confined to the control thread. */
final class MemberEventListener implements ControlListener {
    private final MemberId self;
    private final EventLog log;
    private final Runnable onJoined;
    private final Runnable onDeclaredDead;
    private final BiPredicate<ConfigurationText, MemberId> onConfiguration;
    private final Consumer<EvacuationOrders> onEvacuations;

    /**
     * Creates a listener.
     *
     * @param self the member
     * @param log receives the events
     * @param onJoined called when the member has joined
     * @param onDeclaredDead called when the member was declared dead
     * @param onConfiguration called with each newer configuration and the member that sent it; returns whether it
     *     can be applied
     * @param onEvacuations called with the evacuation orders when they have changed
     */
    MemberEventListener(
            MemberId self,
            EventLog log,
            Runnable onJoined,
            Runnable onDeclaredDead,
            BiPredicate<ConfigurationText, MemberId> onConfiguration,
            Consumer<EvacuationOrders> onEvacuations) {
        this.self = self;
        this.log = log;
        this.onJoined = onJoined;
        this.onDeclaredDead = onDeclaredDead;
        this.onConfiguration = onConfiguration;
        this.onEvacuations = onEvacuations;
    }

    @Override
    public void onLeaseChanged(long leaseEndMillis) {
        if (leaseEndMillis == Long.MIN_VALUE) {
            log.event("lease-ended", "member", self);
        }
    }

    @Override
    public void onJoined(MemberId grantor) {
        log.event("joined", "member", self, "grantor", grantor);
        onJoined.run();
    }

    @Override
    public void onDeclaredDead(MemberId declaredBy) {
        log.event("declared-dead", "member", self, "by", declaredBy);
        onDeclaredDead.run();
    }

    @Override
    public void onLeft() {
        log.event("left", "member", self);
    }

    @Override
    public void onGrantorReplaced(MemberId before, MemberId after) {
        log.event("grantor-replaced", "before", before, "after", after);
    }

    @Override
    public boolean onConfiguration(ConfigurationText received, MemberId from) {
        return onConfiguration.test(received, from);
    }

    @Override
    public void onEvacuations(EvacuationOrders orders) {
        onEvacuations.accept(orders);
    }

    @Override
    public void onConvicted(SuspectReport evidence) {
        log.event("request-convicted", "fingerprint", evidence.request(), "crashes", evidence.crashes());
    }

    @Override
    public void onRowIgnored(RowPath path, SiskindykeException cause) {
        log.event("row-ignored", "row", path, "cause", cause.getMessage());
    }

    @Override
    public void onEraBegan(long era, long before) {
        log.event("store-era-began", "era", era, "before", before);
    }

    @Override
    public void onRowsWrittenAgain(MemberId member, boolean committed) {
        log.event("rows-written-again", "member", member, "committed", committed);
    }

    @Override
    public void onPlacement(PlacementDecision decision) {
        log.event(
                "placement",
                "kind",
                decision.kind(),
                "service",
                decision.service(),
                "from",
                decision.from(),
                "to",
                decision.to(),
                "slices",
                decision.slices(),
                "reason",
                decision.reason(),
                "committed",
                decision.committed());
    }

    @Override
    public void onInternalError(RuntimeException exception) {
        log.event("control-defect", "cause", exception, "at", exception.getStackTrace()[0]);
    }
}
