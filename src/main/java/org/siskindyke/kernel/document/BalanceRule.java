package org.siskindyke.kernel.document;

/**
 * How a service weighs the three measures against each other.
 *
 * @param unavailableTimeWeight weight of time during which keys cannot be reached, 0 to 1
 * @param churnWeight weight of keys that change owner, 0 to 1
 */
public record BalanceRule(double unavailableTimeWeight, double churnWeight) {
    /** Weighs both alike. */
    public static final BalanceRule EVEN = new BalanceRule(0.5, 0.5);

    /** Tells whether the service prefers waiting for a restarted instance to moving its keys at once. */
    public boolean prefersFewMoves() {
        return churnWeight > unavailableTimeWeight;
    }
}
