package org.siskindyke.trial;

/** What a scenario asks of a trial's processes and load; the defaults suit most. */
public interface TrialOptions {
    /** Tells whether backend servers check grants. */
    default boolean checksGrants() {
        return true;
    }

    /** Tells whether backend servers of the undivided service run too. */
    default boolean runsUndivided() {
        return false;
    }

    /** Returns how long calls run at an instance's backend servers, in milliseconds. */
    default long workMillis(int instance, long defaultMillis) {
        return defaultMillis;
    }

    /** Returns the calls to send each second. */
    default double ratePerSecond() {
        return 400;
    }

    /** Returns the share of calls that are not idempotent, in percent. */
    default int orderPercent() {
        return 20;
    }

    /** Returns the skew of the keys. */
    default double zipfExponent() {
        return 0.8;
    }

    /** Returns the number of keys. */
    default int keys() {
        return 2_000;
    }
}
