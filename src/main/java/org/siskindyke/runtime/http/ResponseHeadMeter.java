package org.siskindyke.runtime.http;

import io.servicetalk.transport.api.ConnectionObserver;
import io.servicetalk.transport.api.TransportObserver;

/**
 * Counts the bytes that arrive on a connection while the header section of a response is awaited. A request may start
 * on any thread; bytes arrive on the connection's event loop.
 */
final class ResponseHeadMeter implements TransportObserver, ConnectionObserver {
    private final long maxBytes;
    private volatile Runnable onExceeded = () -> {};
    private boolean awaiting;
    private long receivedBytes;

    ResponseHeadMeter(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Sets the action to run for a header section that exceeds the limit. */
    void onExceeded(Runnable action) {
        onExceeded = action;
    }

    /** Starts to count from zero. */
    synchronized void start() {
        awaiting = true;
        receivedBytes = 0;
    }

    /** Stops counting until the next start. */
    synchronized void stop() {
        awaiting = false;
    }

    @Override
    public ConnectionObserver onNewConnection(Object localAddress, Object remoteAddress) {
        return this;
    }

    @Override
    public void onDataRead(int bytes) {
        if (exceedsWith(bytes)) {
            onExceeded.run();
        }
    }

    /** Returns whether the limit is exceeded by these bytes, which is so once at most for each start. */
    private synchronized boolean exceedsWith(int bytes) {
        if (!awaiting) {
            return false;
        }
        receivedBytes += bytes;
        awaiting = receivedBytes <= maxBytes;
        return !awaiting;
    }
}
