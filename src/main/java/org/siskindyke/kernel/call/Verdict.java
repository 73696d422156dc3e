package org.siskindyke.kernel.call;

/** Whether a request may have run at a backend server. */
public enum Verdict {
    /** The request did not run and will not run; it is safe to retry. */
    NOT_RUN,
    /** The request may have run, may be running, or may still run. */
    MAY_HAVE_RUN,
    /** The request ran and its complete response was received. */
    RAN;

    /** Returns the verdict for two attempts of one request: the later of the two in the order of the constants. */
    public Verdict combine(Verdict other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
