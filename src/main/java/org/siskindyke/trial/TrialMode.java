package org.siskindyke.trial;

/** What a trial measures: the product, or a way to compare it with. */
public enum TrialMode {
    /** Routers with leases granted by peers. */
    PRODUCT,
    /** Routers whose leases are renewed in the table. */
    TABLE_LEASES,
    /** Callers that hash keys over the backend servers that answer, without routers or leases. */
    FIXED_HASHING
}
