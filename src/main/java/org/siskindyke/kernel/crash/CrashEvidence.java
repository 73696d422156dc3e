package org.siskindyke.kernel.crash;

import org.siskindyke.kernel.id.ClientAccount;

/**
 * The end of a backend server while it ran a request.
 *
 * @param target the backend server that ended
 * @param caller who sent the request
 * @param alone whether the request was the only one that was running, or the only suspected one
 * @param ageMillis the time since then, in milliseconds
 * @param cleared whether the same request was answered since, so that it is not the cause
 */
public record CrashEvidence(
        TargetIncarnation target, ClientAccount caller, boolean alone, long ageMillis, boolean cleared) {}
