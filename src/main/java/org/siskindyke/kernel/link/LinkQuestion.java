package org.siskindyke.kernel.link;

import java.util.List;

/**
 * The first message on a connection: asks which calls arrived on the connections before.
 *
 * @param connection the number of the connection; each connection of a link has a higher number than those before
 * @param pending the ids of the calls that the sender waits for or will send again
 */
public record LinkQuestion(int connection, List<Long> pending) {}
