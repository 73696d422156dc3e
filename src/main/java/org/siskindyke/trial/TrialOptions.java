package org.siskindyke.trial;

/** Options of a trial's processes and load, which a scenario may override. */
public interface TrialOptions {
    /** Returns whether backend servers refuse calls outside the grants of their router. */
    default boolean checksGrants() {
        return true;
    }

    /** Returns whether backend servers of the undivided service run too. */
    default boolean runsUndivided() {
        return false;
    }

    /** Returns the time that each call runs at the backend servers of an instance, in milliseconds. */
    default long workMillis(int instance, long defaultMillis) {
        return defaultMillis;
    }

    /** Returns the rate at which calls are sent, per second. */
    default double ratePerSecond() {
        return 400;
    }

    /** Returns the share of calls that are not idempotent, in percent. */
    default int orderPercent() {
        return 20;
    }

    /** Returns the exponent of the Zipf distribution of keys; 0 for a uniform one. */
    default double zipfExponent() {
        return 0.8;
    }

    /** Returns the number of distinct keys. */
    default int keys() {
        return 2_000;
    }
}
