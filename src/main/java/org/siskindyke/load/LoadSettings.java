package org.siskindyke.load;

import java.util.List;

import org.siskindyke.runtime.call.Header;

/**
 * Settings of a {@link LoadGenerator}.
 *
 * @param service name of the called service
 * @param divided whether the service is divided by key, so that each call carries a key
 * @param ratePerSecond calls to send per second
 * @param durationMillis how long to send calls
 * @param keys number of keys
 * @param zipfExponent exponent of the keys' Zipf distribution; 0 for a uniform distribution
 * @param orderPercent percentage of calls that are orders: non-idempotent POST calls with an Idempotency-Key
 * @param retryPercent percentage of the orders not known to have run that are retried with the same key
 * @param seed seed of all random choices
 * @param headers additional header fields of each request
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
