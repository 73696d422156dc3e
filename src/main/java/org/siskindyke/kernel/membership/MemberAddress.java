package org.siskindyke.kernel.membership;

/**
 * The address and ports on which a member listens.
 *
 * @param host IP address
 * @param peerPort TCP port for other routers
 * @param callerPort TCP port for callers
 * @param adminPort TCP port for operators
 */
public record MemberAddress(String host, int peerPort, int callerPort, int adminPort) {}
