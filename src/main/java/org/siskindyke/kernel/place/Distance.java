package org.siskindyke.kernel.place;

/** How far apart two failure domains are, from the cheapest to the most expensive. */
public enum Distance {
    /** The same failure domain. */
    SAME_DOMAIN,
    /** Another failure domain of the same region. */
    SAME_REGION,
    /** A failure domain of another region. */
    OTHER_REGION
}
