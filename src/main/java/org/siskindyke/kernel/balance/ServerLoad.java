package org.siskindyke.kernel.balance;

/**
 * Load that a backend server has announced in a response.
 *
 * @param running requests that it ran
 * @param waiting requests that waited in it
 * @param slots requests that it runs concurrently
 * @param slownessPercent how long work took on its host then, relative to the time during the calls from which its
 *     router knows the duration of a call; 100 where both are the same or the server announces none
 */
public record ServerLoad(int running, int waiting, int slots, int slownessPercent) {}
