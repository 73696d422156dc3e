package org.siskindyke.runtime.traffic;

/** Limits the memory that the partly received responses of one server take. Confined to the traffic loop. */
final class ResponseMemory {
    private final long maxBytes;
    private long usedBytes;

    ResponseMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves memory; returns whether there is enough. */
    boolean reserve(int bytes) {
        if (usedBytes + bytes > maxBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Returns reserved memory. */
    void release(int bytes) {
        usedBytes -= bytes;
    }

    long usedBytes() {
        return usedBytes;
    }
}
