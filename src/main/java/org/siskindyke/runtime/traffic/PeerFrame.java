package org.siskindyke.runtime.traffic;

import java.util.List;

import org.siskindyke.runtime.call.Header;

/**
 * A message between two routers on their shared connection.
 *
 * @param kind what it is
 * @param id pairs a question with its answer
 * @param fields texts that repeat from frame to frame, such as header fields; compressed on the wire
 * @param payload a Thrift message in the compact protocol; empty for some kinds
 */
record PeerFrame(Kind kind, long id, List<Header> fields, byte[] payload) {
    /** Creates a frame without fields. */
    PeerFrame(Kind kind, long id, byte[] payload) {
        this(kind, id, List.of(), payload);
    }

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
