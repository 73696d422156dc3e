package org.siskindyke.kernel.route;

/** Says what may be repeated. */
public enum RouteKind {
    /** Idempotent: may run more than once. */
    SAFE,
    /** Runs at most once for each request. */
    UNSAFE
}
