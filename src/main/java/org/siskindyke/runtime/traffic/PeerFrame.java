package org.siskindyke.runtime.traffic;

/**
 * A message between two routers on their shared connection.
 *
 * @param kind what it is
 * @param id pairs a question with its answer
 * @param payload a Thrift message in the compact protocol; empty for some kinds
 */
record PeerFrame(Kind kind, long id, byte[] payload) {
    /** Kinds of messages; the position is the code on the wire. */
    enum Kind {
        FORWARD,
        FORWARD_REPLY,
        CANCEL,
        RENEW,
        RENEW_REPLY,
        GOSSIP,
        GOSSIP_REPLY,
        RELEASE,
        USAGE,
        USAGE_REPLY,
        WITHDRAW,
        PING,
        PONG;

        private static final Kind[] ALL = values();

        /** Returns the kind of a code, or null where there is none. */
        static Kind of(int code) {
            return code >= 0 && code < ALL.length ? ALL[code] : null;
        }
    }
}
