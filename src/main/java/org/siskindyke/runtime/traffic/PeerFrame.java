package org.siskindyke.runtime.traffic;

import java.util.List;

import org.siskindyke.runtime.call.Header;

/**
 * A message between two routers on their shared connection.
 *
 * @param kind the kind of message
 * @param id matches a reply to its request; 0 where there is none
 * @param fields strings that recur from frame to frame, such as header fields; compressed on the wire
 * @param payload a Thrift message in the compact protocol; empty for some kinds
 */
record PeerFrame(Kind kind, long id, List<Header> fields, byte[] payload) {
    /** Creates a frame without fields. */
    PeerFrame(Kind kind, long id, byte[] payload) {
        this(kind, id, List.of(), payload);
    }

    /** Kinds of messages. The ordinal is the code on the wire, so the order must not change. */
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

        /** Returns the kind with a code, or null where there is none. */
        static Kind of(int code) {
            return code >= 0 && code < ALL.length ? ALL[code] : null;
        }
    }
}
