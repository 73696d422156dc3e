package org.siskindyke.runtime.traffic;

/**
 * Limits the memory that the partly received responses of one server take, and counts it in {@link CallerMemory}, where
 * callers give way for it. Confined to the traffic loop.
 */
final class ResponseMemory {
    private final long maxBytes;
    private final CallerMemory account;
    /** Opened on the loop; a limit may be created on another thread. */
    private CallerMemory.Share share;

    private long usedBytes;

    /**
     * Creates a limit.
     *
     * @param maxBytes the most that may be used
     * @param account the account in which it is counted
     */
    ResponseMemory(long maxBytes, CallerMemory account) {
        this.maxBytes = maxBytes;
        this.account = account;
    }

    /** Reserves memory; returns whether there is enough. */
    boolean reserve(int bytes) {
        if (usedBytes + bytes > maxBytes) {
            return false;
        }
        usedBytes += bytes;
        if (share == null) {
            share = account.open();
        }
        share.force(usedBytes);
        return true;
    }

    /** Returns reserved memory. */
    void release(int bytes) {
        usedBytes -= bytes;
        if (share != null) {
            share.force(usedBytes);
        }
    }

    long usedBytes() {
        return usedBytes;
    }

    /** Stops counting, as the server is no longer used. */
    void end() {
        if (share != null) {
            share.end();
        }
    }
}
