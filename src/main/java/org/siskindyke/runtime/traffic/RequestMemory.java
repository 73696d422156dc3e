package org.siskindyke.runtime.traffic;

/**
 * Limits the memory that the bodies of the requests at one {@link HttpListener} take, from when they are announced
 * until the requests are answered. Short bodies are not counted here, so that long ones do not keep them out; what has
 * been received of any body is counted in {@link CallerMemory}. Confined to the traffic loop.
 */
final class RequestMemory {
    /** Longest body that fits into a message between routers, with its header fields. */
    static final long MAX_BODY_BYTES = PeerFrameCodec.MAX_FRAME_BYTES - (1 << 20);

    private static final long SHORT_BODY_BYTES = 1 << 16;
    /** A part of the heap, since a body that is forwarded is held in several forms for a moment. */
    private static final long HEAP_DIVISOR = 4;

    private final long maxBytes = Math.max(MAX_BODY_BYTES, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    private long usedBytes;

    /** Returns the memory for all bodies. */
    long maxBytes() {
        return maxBytes;
    }

    long usedBytes() {
        return usedBytes;
    }

    /** The memory that is reserved for one body; none at first. */
    final class Reservation {
        private long bytes;

        /** Reserves memory for a body of this length, or one that has grown to it; returns whether there is enough. */
        boolean growTo(long bodyBytes) {
            if (bodyBytes <= Math.max(bytes, SHORT_BODY_BYTES)) {
                return true;
            }
            long moreBytes = bodyBytes - bytes;
            if (bodyBytes > MAX_BODY_BYTES || usedBytes + moreBytes > maxBytes) {
                return false;
            }
            usedBytes += moreBytes;
            bytes = bodyBytes;
            return true;
        }

        /** Returns the memory. */
        void release() {
            usedBytes -= bytes;
            bytes = 0;
        }
    }
}
