package org.siskindyke.kernel.balance;

/**
 * How busy a target is, as its router tells with each reply.
 *
 * @param slots calls that it runs at a time
 * @param busy slots in use
 * @param waiting calls that wait for a slot
 * @param millisPerCall how long a call takes on average
 */
public record TargetLoadReport(int slots, int busy, int waiting, int millisPerCall) {}
