package org.siskindyke.runtime.peer;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

/** Encodes messages between routers in Thrift's compact protocol, and decodes them with limits on sizes. */
public final class WireCodec {
    /** Maximum size of a string or binary field in a message, in bytes. */
    public static final int MAX_STRING_BYTES = 8 * 1024 * 1024;

    private static final int MAX_ELEMENTS = 100_000;
    private static final TCompactProtocol.Factory PROTOCOL =
            new TCompactProtocol.Factory(MAX_STRING_BYTES, MAX_ELEMENTS);

    private WireCodec() {}

    /** Encodes a message. */
    public static byte[] encode(TBase<?, ?> message) {
        try {
            return new TSerializer(PROTOCOL).serialize(message);
        } catch (TException e) {
            throw new SiskindykeException(ErrorCode.INTERNAL, "cannot encode " + message.getClass(), e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes the bytes
     * @param message an empty message to fill
     * @param <T> its type
     * @return the message
     * @throws SiskindykeException with code {@code INVALID_REQUEST} if the bytes are malformed or exceed a limit
     */
    public static <T extends TBase<?, ?>> T decode(byte[] bytes, T message) {
        try {
            new TDeserializer(PROTOCOL).deserialize(message, bytes);
            return message;
        } catch (TException | RuntimeException e) {
            throw new SiskindykeException(
                    ErrorCode.INVALID_REQUEST, "malformed " + message.getClass().getSimpleName(), e);
        }
    }
}
