package org.siskindyke.kernel.control;

import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.GrantDecision;

/** Ignores everything but defects. */
class FakeListener implements ControlListener {
    @Override
    public void onLease(long leaseEndMillis) {
        // Ignored.
    }

    @Override
    public void onJoined(MemberId grantor) {
        // Ignored.
    }

    @Override
    public void onDeclaredDead(MemberId declaredBy) {
        // Ignored.
    }

    @Override
    public void onLeft() {
        // Ignored.
    }

    @Override
    public void onGrantorReplaced(MemberId before, MemberId after) {
        // Ignored.
    }

    @Override
    public void onRenewalRefused(MemberId grantor, GrantDecision decision) {
        // Ignored.
    }

    @Override
    public void onDefect(RuntimeException defect) {
        throw defect;
    }

    @Override
    public void onPlacement(PlacementDecision decision) {
        // Ignored.
    }
}
