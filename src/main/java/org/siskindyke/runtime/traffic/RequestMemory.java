package org.siskindyke.runtime.traffic;

import org.siskindyke.kernel.time.MonotonicClock;

/**
 * Limits the memory that the bodies of the requests at one {@link HttpListener} take, from when they are announced
 * until the requests are answered. Where there is no room, unfinished bodies give way as they do in {@link
 * CallerMemory}. Short bodies are not counted here, so that long ones do not keep them out; what has been received of
 * any body is counted in {@link CallerMemory}. Confined to the traffic loop.
 */
final class RequestMemory {
    /** Longest body that fits into a message between routers, with its header fields. */
    static final long MAX_BODY_BYTES = PeerFrameCodec.MAX_FRAME_BYTES - (1 << 20);

    private static final long SHORT_BODY_BYTES = 1 << 16;
    /** A part of the heap, since a body that is forwarded is held in several forms for a moment. */
    private static final long HEAP_DIVISOR = 4;

    private final CallerMemory account;

    RequestMemory(MonotonicClock clock) {
        long maxBytes = Math.max(MAX_BODY_BYTES, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
        this.account = new CallerMemory(clock, maxBytes, maxBytes);
    }

    /** Returns the memory for all bodies. */
    long maxBytes() {
        return account.maxBytes();
    }

    long usedBytes() {
        return account.usedBytes();
    }

    /** The memory that is reserved for one body; none at first. */
    final class Reservation {
        private final CallerMemory.Holder holder;
        /** Null while nothing is reserved, as for most requests. */
        private CallerMemory.Share share;

        /** Creates a reservation that {@code holder} can give up. */
        Reservation(CallerMemory.Holder holder) {
            this.holder = holder;
        }

        /** Reserves memory for a body of this length, or one that has grown to it; returns whether there is enough. */
        boolean growTo(long bodyBytes) {
            if (bodyBytes <= Math.max(bytes(), SHORT_BODY_BYTES)) {
                return true;
            }
            if (bodyBytes > MAX_BODY_BYTES) {
                return false;
            }
            if (share == null) {
                share = account.open(holder);
            }
            return share.resize(bodyBytes);
        }

        long bytes() {
            return share == null ? 0 : share.bytes();
        }

        /** Returns the memory. */
        void release() {
            if (share != null) {
                share.end();
            }
        }
    }
}
