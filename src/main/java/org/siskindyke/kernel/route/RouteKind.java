package org.siskindyke.kernel.route;

/** Whether the requests of a route may run more than once. */
public enum RouteKind {
    /** Idempotent: may run more than once. */
    SAFE,
    /** Not idempotent: each request runs at most once. */
    UNSAFE
}
