package org.siskindyke.kernel.balance;

/**
 * The load of one slice.
 *
 * @param index position of the slice in its service
 * @param callsPerSecond calls per second for keys of the slice
 */
public record SliceLoad(int index, double callsPerSecond) {}
