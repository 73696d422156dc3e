package org.siskindyke.runtime.traffic;

/** How long a leaving backend server gets calls. */
public final class TargetDrain {
    /**
     * Fraction of the drain time for which a leaving backend server of a divided service still gets new calls, so that
     * its keys are served while they move.
     */
    public static final double SERVED_SHARE = 0.75;

    private TargetDrain() {}
}
