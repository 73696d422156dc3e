package org.siskindyke.measure;

import org.siskindyke.kernel.control.ControlListener;
import org.siskindyke.kernel.control.PlacementDecision;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.membership.GrantDecision;

/** Ignores what a member learns of itself, but for defects. */
final class SilentListener implements ControlListener {
    @Override
    public void onLease(long leaseEndMillis) {
        // Measured clusters carry no calls.
    }

    @Override
    public void onJoined(MemberId grantor) {
        // Not counted.
    }

    @Override
    public void onDeclaredDead(MemberId declaredBy) {
        // Not counted.
    }

    @Override
    public void onLeft() {
        // Not counted.
    }

    @Override
    public void onGrantorReplaced(MemberId before, MemberId after) {
        // Not counted.
    }

    @Override
    public void onRenewalRefused(MemberId grantor, GrantDecision decision) {
        // Not counted.
    }

    @Override
    public void onDefect(RuntimeException defect) {
        throw defect;
    }

    @Override
    public void onPlacement(PlacementDecision decision) {
        // Not counted.
    }
}
