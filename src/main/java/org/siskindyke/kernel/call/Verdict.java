package org.siskindyke.kernel.call;

/** Says whether a request may have run at a backend server. */
public enum Verdict {
    /** The request did not run and will not run; it is safe to send again. */
    NOT_RUN,
    /** The request may have run, may be running, or may run yet. */
    MAY_HAVE_RUN,
    /** The request ran and its whole answer is at hand. */
    RAN;

    /** Combines the verdicts of several attempts of one request. */
    public Verdict combine(Verdict other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
