package org.siskindyke.trial;

/** The system under test of a trial: the product, or an alternative to compare it with. */
public enum TrialMode {
    /** Routers with leases granted by peers. */
    PRODUCT,
    /** Routers whose leases are renewed in the table. */
    TABLE_LEASES,
    /** Callers that hash keys over the reachable backend servers, without routers or leases. */
    FIXED_HASHING
}
