package org.siskindyke.runtime.traffic;

import java.net.InetSocketAddress;

/**
 * The responses that the caller of a connection waits for.
 *
 * @param caller the address of the caller
 * @param firstTarget the start of the target of the first request that is not answered in full; null if all are, and
 *     only a part of the last response has not been sent
 * @param firstMillis how long ago that request was read, in milliseconds; 0 where there is none
 * @param unanswered requests that were read and are not answered in full
 * @param ready how many of these have a response
 * @param unsentBytes bytes of responses that wait until the caller reads
 */
public record UnsentResponses(
        InetSocketAddress caller, String firstTarget, long firstMillis, int unanswered, int ready, long unsentBytes) {}
