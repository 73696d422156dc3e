package org.siskindyke.runtime.traffic;

import java.util.ArrayList;
import java.util.List;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.Header;
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.runtime.peer.WireCodec;
import org.siskindyke.runtime.peer.WireMapper;
import org.siskindyke.wire.ForwardRequest;
import org.siskindyke.wire.ForwardResponse;

/**
 * Converts calls and replies to frames and back: numbers and bodies as Thrift structs, strings as fields of the frame,
 * where recurring ones take few bytes.
 */
final class ForwardFrames {
    /** Prefix of pseudo-header fields; the name of a header field cannot begin with a colon. */
    private static final String PSEUDO_FIELD_PREFIX = ":";

    private static final String CALL_ID = ":call";
    private static final String SERVICE = ":service";
    private static final String CALLER = ":caller";
    private static final String KEY = ":key";
    private static final String METHOD = ":method";
    private static final String PATH = ":path";
    private static final String KIND = ":kind";
    private static final String CODE = ":code";

    private ForwardFrames() {}

    /** Returns the frame that forwards a call. */
    static PeerFrame request(Call call, MemberId to, int hops, long nowMillis) {
        ForwardRequest wire = WireMapper.toWire(call, to, hops, nowMillis);
        List<Header> fields = new ArrayList<>(call.headers().size() + 7);
        fields.add(new Header(METHOD, wire.getMethod()));
        fields.add(new Header(SERVICE, wire.getServiceName()));
        fields.add(new Header(KIND, wire.getKind()));
        fields.add(new Header(CALLER, wire.getCaller()));
        fields.add(new Header(PATH, wire.getTarget()));
        fields.add(new Header(CALL_ID, wire.getCallId()));
        fields.add(new Header(KEY, wire.getKey()));
        fields.addAll(call.headers());
        wire.unsetMethod();
        wire.unsetServiceName();
        wire.unsetKind();
        wire.unsetTarget();
        wire.unsetCallId();
        wire.unsetCaller();
        wire.unsetKey();
        wire.unsetToMember();
        wire.unsetHeaders();
        return new PeerFrame(PeerFrame.Kind.FORWARD, 0, fields, WireCodec.encode(wire));
    }

    /**
     * Reads a forwarded call; its remaining times count from {@code nowMillis}.
     *
     * @throws SiskindykeException with code {@code INVALID_REQUEST}
     */
    static Call readRequest(PeerFrame frame, long nowMillis) {
        ForwardRequest wire = WireCodec.decode(frame.payload(), new ForwardRequest());
        wire.setMethod(pseudoField(frame, METHOD));
        wire.setServiceName(pseudoField(frame, SERVICE));
        wire.setKind(pseudoField(frame, KIND));
        wire.setTarget(pseudoField(frame, PATH));
        wire.setCallId(pseudoField(frame, CALL_ID));
        wire.setCaller(optionalField(frame, CALLER));
        wire.setKey(pseudoField(frame, KEY));
        wire.setHeaders(WireMapper.toWire(headers(frame)));
        return WireMapper.fromWire(wire, wire.isIdempotent(), nowMillis);
    }

    /** Returns the frame with the reply to a call. */
    static PeerFrame reply(long id, String callId, Reply reply) {
        ForwardResponse wire = WireMapper.toWire(callId, reply);
        List<Header> fields = new ArrayList<>(reply.headers());
        if (wire.isSetCode()) {
            fields.add(new Header(CODE, wire.getCode()));
        }
        wire.unsetCode();
        wire.unsetCallId();
        wire.unsetHeaders();
        return new PeerFrame(PeerFrame.Kind.FORWARD_REPLY, id, fields, WireCodec.encode(wire));
    }

    /**
     * Reads the reply to a forwarded call.
     *
     * @throws SiskindykeException with code {@code INVALID_REQUEST}
     */
    static Reply readReply(PeerFrame frame) {
        ForwardResponse wire = WireCodec.decode(frame.payload(), new ForwardResponse());
        wire.setHeaders(WireMapper.toWire(headers(frame)));
        wire.setCode(optionalField(frame, CODE));
        return WireMapper.fromWire(wire);
    }

    /** Returns the id of the call that a frame forwards, or null where it forwards none. */
    static String callId(PeerFrame frame) {
        return optionalField(frame, CALL_ID);
    }

    private static List<Header> headers(PeerFrame frame) {
        return frame.fields().stream()
                .filter(field -> !field.name().startsWith(PSEUDO_FIELD_PREFIX))
                .toList();
    }

    private static String pseudoField(PeerFrame frame, String name) {
        String value = optionalField(frame, name);
        if (value == null) {
            throw new SiskindykeException(ErrorCode.INVALID_REQUEST, "forwarded call lacks the field " + name);
        }
        return value;
    }

    /** Returns the value of a pseudo-header field, or null where the frame lacks it. */
    private static String optionalField(PeerFrame frame, String name) {
        for (Header field : frame.fields()) {
            if (field.name().equals(name)) {
                return field.value();
            }
        }
        return null;
    }
}
