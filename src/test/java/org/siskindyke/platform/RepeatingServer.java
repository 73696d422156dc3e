package org.siskindyke.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import org.siskindyke.RawHttpServer;

/**
 * A backend server that refuses the first request on each connection and runs all later ones, but writes that refusal
 * once more ahead of each response.
 */
final class RepeatingServer implements AutoCloseable {
    private final RawHttpServer server;
    private final int status;
    private final boolean copyNamesRequest;
    private final ConcurrentLinkedQueue<String> runs = new ConcurrentLinkedQueue<>();
    private final AtomicInteger copies = new AtomicInteger();

    /** Starts a server; {@code copyNamesRequest} says whether a copy has the id of the refused request. */
    RepeatingServer(int status, boolean copyNamesRequest) throws IOException {
        this.status = status;
        this.copyNamesRequest = copyNamesRequest;
        this.server = new RawHttpServer(Connection::new);
    }

    InetSocketAddress address() {
        return server.address();
    }

    /** Returns the ids of the requests that ran, one for each run. */
    Collection<String> runs() {
        return runs;
    }

    /** Returns the number of refusals written once more. */
    int copies() {
        return copies.get();
    }

    private final class Connection implements RawHttpServer.Script {
        private String refused;

        @Override
        public List<String> respond(RawHttpServer.Request request) {
            String id = request.id();
            if (refused == null) {
                refused = id;
                return List.of(refusal(idField(id)));
            }
            runs.add(id);
            copies.incrementAndGet();
            return List.of(
                    refusal(copyNamesRequest ? idField(refused) : ""),
                    "HTTP/1.1 200 OK\r\n" + idField(id)
                            + "X-Siskindyke-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok");
        }
    }

    private static String idField(String id) {
        return "X-Siskindyke-Request-Id: " + id + "\r\n";
    }

    private String refusal(String idField) {
        return "HTTP/1.1 " + status + " Refused\r\nX-Siskindyke-Not-Executed: 1\r\n" + idField
                + "Content-Length: 0\r\n\r\n";
    }

    @Override
    public void close() {
        server.close();
    }
}
