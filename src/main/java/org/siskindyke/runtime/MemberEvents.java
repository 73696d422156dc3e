package org.siskindyke.runtime;

import java.util.function.Consumer;

import org.siskindyke.kernel.control.ConfigurationText;
import org.siskindyke.kernel.control.ControlListener;
import org.siskindyke.kernel.control.PlacementDecision;
import org.siskindyke.kernel.id.MemberId;

/** Logs what happens to a member and passes on what its router must act on. Confined to the control thread. */
final class MemberEvents implements ControlListener {
    private final MemberId self;
    private final EventLog log;
    private final Runnable onJoined;
    private final Runnable onDead;
    private final Consumer<ConfigurationText> onConfiguration;

    /**
     * Creates a listener.
     *
     * @param self the member
     * @param log takes the events
     * @param onJoined runs when the member has joined
     * @param onDead runs when the member was declared dead
     * @param onConfiguration takes a newer configuration
     */
    MemberEvents(
            MemberId self,
            EventLog log,
            Runnable onJoined,
            Runnable onDead,
            Consumer<ConfigurationText> onConfiguration) {
        this.self = self;
        this.log = log;
        this.onJoined = onJoined;
        this.onDead = onDead;
        this.onConfiguration = onConfiguration;
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
        onDead.run();
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
    public void onConfiguration(ConfigurationText learned) {
        onConfiguration.accept(learned);
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
    public void onInternalError(RuntimeException defect) {
        log.event("control-defect", "cause", defect, "at", defect.getStackTrace()[0]);
    }
}
