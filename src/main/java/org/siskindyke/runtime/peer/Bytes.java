package org.siskindyke.runtime.peer;

import io.servicetalk.buffer.api.Buffer;

/** Copies buffers. */
public final class Bytes {
    private Bytes() {}

    /** Returns the readable bytes of a buffer. */
    public static byte[] of(Buffer buffer) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        return bytes;
    }
}
