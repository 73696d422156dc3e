package org.siskindyke.kernel.document;

/**
 * How a service weighs the unavailability of keys against changes of their owner.
 *
 * @param unavailableTimeWeight weight of the time during which keys are unavailable, 0 to 1; has no effect at present
 * @param churnWeight weight of keys that change owner, 0 to 1
 */
public record BalanceRule(double unavailableTimeWeight, double churnWeight) {
    /** Equal weights. */
    public static final BalanceRule EVEN = new BalanceRule(0.5, 0.5);

    /**
     * Returns whether the service prefers waiting for an instance to restart over moving its keys at once. Nothing
     * calls this method.
     */
    public boolean prefersFewMoves() {
        return churnWeight > unavailableTimeWeight;
    }
}
