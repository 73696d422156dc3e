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

/** A TCP proxy on loopback that passes connections on to one address, or harms them. */
final class FaultProxy implements AutoCloseable {
    /** How late bytes arrive on a delayed connection. */
    private static final long DELAY_MILLIS = 300;

    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final int BUFFER_BYTES = 16 * 1024;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;

    /** What the proxy does with bytes. */
    enum Mode {
        /** Passes them on. */
        PASS,
        /** Passes them on late. */
        DELAY,
        /** Keeps back what the callers should hear. */
        ONE_WAY,
        /** Keeps back everything. */
        SILENT,
        /** Resets all connections. */
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

    /** Changes what is done with bytes from now on. */
    void setMode(Mode newMode) {
        mode = newMode;
        if (newMode == Mode.RESET) {
            sockets.forEach(FaultProxy::reset);
        }
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
                // The proxy is being closed, or the store does not listen: the caller sees its connection end.
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
            // One side has ended; the other is told below.
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
