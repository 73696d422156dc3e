package org.siskindyke.runtime.traffic;

import java.util.List;

import org.siskindyke.runtime.call.Header;

/**
 * A message on a connection between two routers.
 *
 * @param kind the kind of message
 * @param id an unsigned number of 32 bits that the sender gives to a request; its reply, cancellation or withdrawal has
 *     the same; 0 for other messages
 * @param fields strings that recur from frame to frame, such as header fields; compressed on the wire
 * @param payload a Thrift message in the compact protocol; empty for some kinds
 */
record PeerFrame(Kind kind, long id, List<Header> fields, byte[] payload) {
    /** Creates a frame without fields. */
    PeerFrame(Kind kind, long id, byte[] payload) {
        this(kind, id, List.of(), payload);
    }

    /**
     * Kinds of messages; {@link org.siskindyke.kernel.control.PeerMessenger} describes renewals and gossip. The ordinal
     * is the code on the wire, so the order must not change.
     */
    enum Kind {
        /** A call to run at the receiver's backend server. */
        FORWARD,
        FORWARD_REPLY,
        /** Cancels a forwarded call; no reply to the call is sent. */
        CANCEL,
        RENEW,
        RENEW_REPLY,
        GOSSIP,
        GOSSIP_REPLY,
        /** Requests that an owner hand slices to another member; has no reply. */
        RELEASE,
        /** Requests the load of the receiver's target. */
        USAGE,
        USAGE_REPLY,
        /** Requests that a forwarded call be refused if it has not begun; the reply to the call is still sent. */
        WITHDRAW,
        PING,
        PONG;

        private static final Kind[] ALL = values();

        /** Returns whether a message has a reply, which names it by its id. */
        boolean isRequest() {
            return this == FORWARD || this == RENEW || this == GOSSIP || this == USAGE;
        }

        /** Returns the kind with a code, or null where there is none. */
        static Kind of(int code) {
            return code >= 0 && code < ALL.length ? ALL[code] : null;
        }
    }
}
