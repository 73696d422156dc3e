package org.siskindyke.runtime.traffic;

import org.siskindyke.kernel.id.ServiceName;

/**
 * Whether a retry budget has allowed a retry.
 *
 * @param service the service of the request
 * @param granted whether the budget had room for the retry
 * @param routers the number of routers that the budget assumes to share the allowance
 */
public record RetryDecision(ServiceName service, boolean granted, int routers) {}
