package org.siskindyke.runtime.peer;

import io.servicetalk.buffer.api.Buffer;

/** Copies network buffers to arrays. */
public final class Bytes {
    private Bytes() {}

    /** Reads all readable bytes of a buffer into a new array; the buffer has none left afterwards. */
    public static byte[] of(Buffer buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        return bytes;
    }
}
