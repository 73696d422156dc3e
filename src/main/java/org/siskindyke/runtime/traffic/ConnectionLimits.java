package org.siskindyke.runtime.traffic;

/**
 * Bounds what the connections to one port hold, in this process and in the kernel. What a socket has received and the
 * process has not read counts toward the memory of the machine, accepted or not.
 *
 * @param accepted connections at a time; a further one takes the place of another, see {@link HttpListener}
 * @param waiting connections that may wait to be accepted; the kernel drops the opening packets of further ones
 * @param receiveBufferBytes size of the receive buffer of each, as set on the socket; Linux doubles it and counts its
 *     own bookkeeping, so that up to one and a half times as many bytes wait to be read
 */
public record ConnectionLimits(int accepted, int waiting, int receiveBufferBytes) {
    private static final int RECEIVE_BUFFER_BYTES = 8_192;

    /** Limits of a port to which anybody may connect. */
    public static final ConnectionLimits CALLERS =
            new ConnectionLimits(MaxConnections.OF_PROCESS, 1_024, RECEIVE_BUFFER_BYTES);

    /** Limits of a port for the platform, the backend server or operators. */
    public static final ConnectionLimits INTERNAL = new ConnectionLimits(64, 64, RECEIVE_BUFFER_BYTES);

    /** Limits of the port for other routers, until they have named themselves, which takes one round trip. */
    static final ConnectionLimits PEERS = new ConnectionLimits(256, 1_024, RECEIVE_BUFFER_BYTES);
}
