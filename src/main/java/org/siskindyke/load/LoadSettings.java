package org.siskindyke.load;

import java.util.List;

import org.siskindyke.runtime.call.Header;

/**
 * What load to make.
 *
 * @param service the service
 * @param divided whether paths carry a key
 * @param ratePerSecond calls to send each second
 * @param durationMillis how long to send
 * @param keys number of keys
 * @param zipfExponent skew of the keys
 * @param orderPercent share of calls that are not idempotent
 * @param retryPercent share of orders without a clear outcome that are sent again
 * @param seed of all random choices
 * @param headers further fields of each request
 */
public record LoadSettings(
        String service,
        boolean divided,
        double ratePerSecond,
        long durationMillis,
        int keys,
        double zipfExponent,
        int orderPercent,
        int retryPercent,
        long seed,
        List<Header> headers) {}
