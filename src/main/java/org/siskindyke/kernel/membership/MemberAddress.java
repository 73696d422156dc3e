package org.siskindyke.kernel.membership;

/**
 * Where a member listens.
 *
 * @param host an IP number
 * @param peerPort TCP port for other routers
 * @param callerPort TCP port for callers
 * @param adminPort TCP port for operators
 */
public record MemberAddress(String host, int peerPort, int callerPort, int adminPort) {}
