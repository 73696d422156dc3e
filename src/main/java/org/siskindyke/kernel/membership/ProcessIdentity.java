package org.siskindyke.kernel.membership;

/**
 * Identifies an operating system process, so that a later process on the same host can verify that it has ended.
 *
 * @param bootId identifies the running kernel of the host
 * @param pidNamespace identifies the process id namespace
 * @param pid process id in that namespace
 * @param startMillis start time of the process by the host's clock, as Unix time in milliseconds
 */
public record ProcessIdentity(String bootId, String pidNamespace, long pid, long startMillis) {}
