package org.siskindyke.kernel.membership;

/**
 * Identifies an operating system process, so that a successor on the same host can prove that it has ended.
 *
 * @param bootId identifies the running kernel of the host
 * @param pidNamespace identifies the process id namespace
 * @param pid process id in that namespace
 * @param startMillis start of the process, milliseconds since the epoch by the host's clock
 */
public record ProcessIdentity(String bootId, String pidNamespace, long pid, long startMillis) {}
