/**
 * Clients and servers of the messages between routers, and their wire form.
 *
 * <p>{@link org.siskindyke.runtime.RouterProcess} sends the messages over HTTP/2, with the clients and the server in
 * this package. {@link org.siskindyke.runtime.InstanceRouter} sends them with {@link
 * org.siskindyke.runtime.traffic.PeerNetwork}, which uses only {@link WireMapper} and {@link WireCodec} from here.
 */
package org.siskindyke.runtime.peer;
