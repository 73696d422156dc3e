package org.siskindyke.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;

/** A TCP proxy on loopback that forwards connections to one address and can inject network faults. */
final class FaultProxy implements AutoCloseable {
    /** Delay before each chunk is forwarded in mode {@link Mode#DELAY}. */
    private static final long DELAY_MILLIS = 300;

    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;

    /** What the proxy does with the bytes and connections that it receives. */
    enum Mode {
        /** Forwards bytes unchanged. */
        PASS,
        /** Forwards bytes in both directions after a delay. */
        DELAY,
        /** Forwards bytes to the target only; bytes to the caller wait until the mode changes. */
        ONE_WAY,
        /** Forwards nothing; bytes wait until the mode changes. */
        SILENT,
        /** Resets all connections, open and new ones. */
        RESET
    }

    FaultProxy(InetSocketAddress listen, InetSocketAddress target) {
        this.target = target;
        try {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(listen);
        } catch (IOException e) {
            throw new SiskindykeException(ErrorCode.ADDRESS_UNAVAILABLE, "cannot listen on " + listen, e);
        }
        startDaemon(this::accept);
    }

    /** Switches the mode; {@link Mode#RESET} also resets the connections that are open. */
    void setMode(Mode newMode) {
        mode = newMode;
        if (newMode == Mode.RESET) {
            resetConnections();
        }
    }

    /** Resets the connections that are open. */
    void resetConnections() {
        sockets.forEach(FaultProxy::reset);
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work, "fault-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket caller = server.accept();
                if (mode == Mode.RESET) {
                    reset(caller);
                } else {
                    connect(caller);
                }
            } catch (IOException e) {
                // Either the proxy is being closed, or the target does not listen and the caller's connection was
                // closed.
                if (server.isClosed()) {
                    return;
                }
            }
        }
    }

    private void connect(Socket caller) throws IOException {
        Socket upstream = new Socket();
        try {
            upstream.connect(target);
        } catch (IOException e) {
            caller.close();
            throw e;
        }
        sockets.add(caller);
        sockets.add(upstream);
        startDaemon(() -> forward(caller, upstream, false));
        startDaemon(() -> forward(upstream, caller, true));
    }

    private void forward(Socket from, Socket to, boolean toCaller) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                applyFault(toCaller);
                out.write(buffer, 0, length);
            }
        } catch (IOException e) {
            // One side has closed its connection; the other side is closed below.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close(from);
        close(to);
    }

    private void applyFault(boolean toCaller) throws InterruptedException {
        if (mode == Mode.DELAY) {
            Thread.sleep(DELAY_MILLIS);
        }
        while (mode == Mode.SILENT || mode == Mode.ONE_WAY && toCaller) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It has ended already.
        }
    }

    private void close(Socket socket) {
        sockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // It has ended already.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        sockets.forEach(this::close);
    }
}
