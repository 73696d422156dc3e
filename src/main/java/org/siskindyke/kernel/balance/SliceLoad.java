package org.siskindyke.kernel.balance;

/**
 * The load of one slice.
 *
 * @param index zero-based position among the slices of the service
 * @param callsPerSecond calls per second for keys of the slice
 */
public record SliceLoad(int index, double callsPerSecond) {}
