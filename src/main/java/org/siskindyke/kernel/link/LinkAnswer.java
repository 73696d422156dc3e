package org.siskindyke.kernel.link;

import java.util.List;

/**
 * The receiver's answer to a {@link LinkQuestion}. From then on it processes nothing that arrives on earlier
 * connections, so a call that it does not list will not arrive any more.
 *
 * @param connection the number of the connection that the question came on
 * @param firstConnection the number of the first connection that the receiver has a record of; it may be another
 *     process than the one at the other end of earlier connections
 * @param received the ids of those calls in question that have arrived
 */
public record LinkAnswer(int connection, int firstConnection, List<Long> received) {}
