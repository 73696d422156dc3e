package org.siskindyke.runtime.peer;

/** Request paths of the messages between routers. */
final class PeerPaths {
    static final String RENEW = "/peer/renew";
    static final String GOSSIP = "/peer/gossip";
    static final String RELEASE = "/peer/release";
    static final String FORWARD = "/peer/forward";
    static final String LOAD = "/peer/load";
    static final String STATUS = "/peer/status";

    private PeerPaths() {}
}
