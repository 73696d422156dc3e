package org.siskindyke.runtime.peer;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpResponseStatus;
import org.apache.thrift.TBase;
import org.siskindyke.kernel.error.ErrorCode;
import org.siskindyke.kernel.error.SiskindykeException;
import org.siskindyke.kernel.membership.MemberAddress;
import org.siskindyke.runtime.http.Http;

import static io.servicetalk.buffer.netty.BufferAllocators.DEFAULT_ALLOCATOR;

/**
 * Sends messages to other routers, over one HTTP/2 connection to each.
 *
 * <p>A connection on which several requests in a row failed is replaced by a new one; requests still in progress on the
 * old one keep their own timeouts.
 */
public final class PeerClients implements AutoCloseable {
    private static final int FAILURES_BEFORE_RECONNECT = 2;

    private final Map<PeerAddress, Peer> peers = new ConcurrentHashMap<>();
    private final LinkFaults faults;

    /**
     * Creates clients without connections.
     *
     * @param faults decides which messages are dropped by fault injection
     */
    public PeerClients(LinkFaults faults) {
        this.faults = faults;
    }

    private record PeerAddress(String host, int port) {}

    private static final class Peer {
        private final HttpClient client;
        private final AtomicInteger consecutiveFailures = new AtomicInteger();

        private Peer(HttpClient client) {
            this.client = client;
        }
    }

    /**
     * Sends a message.
     *
     * @param to the member's address
     * @param path request path, one of {@link PeerPaths}
     * @param message the message
     * @param timeout maximum wait for the response
     * @return the response body; fails with the transport's error, with a {@link
     *     java.util.concurrent.TimeoutException}, also if fault injection drops the message, or with a {@link
     *     SiskindykeException} of code {@code PEER_UNAVAILABLE} if the status is not 200
     */
    public Single<byte[]> request(MemberAddress to, String path, TBase<?, ?> message, Duration timeout) {
        PeerAddress address = new PeerAddress(to.host(), to.peerPort());
        if (faults.isCut(to.peerPort())) {
            return Single.<byte[]>never().timeout(timeout);
        }
        Peer peer = peers.computeIfAbsent(address, PeerClients::connect);
        return peer.client
                .request(peer.client.post(path).payloadBody(DEFAULT_ALLOCATOR.wrap(WireCodec.encode(message))))
                .map(response -> {
                    if (!response.status().equals(HttpResponseStatus.OK)) {
                        throw new SiskindykeException(
                                ErrorCode.PEER_UNAVAILABLE, "peer responded with status " + response.status());
                    }
                    return Bytes.of(response.payloadBody());
                })
                .timeout(timeout)
                .whenOnSuccess(bytes -> peer.consecutiveFailures.set(0))
                .whenOnError(failure -> onFailure(address, peer));
    }

    /** Closes the connection to a member that has ended; a later request would open a new one. */
    public void forget(MemberAddress address) {
        close(peers.remove(new PeerAddress(address.host(), address.peerPort())));
    }

    @Override
    public void close() {
        peers.values().forEach(PeerClients::close);
        peers.clear();
    }

    private void onFailure(PeerAddress address, Peer peer) {
        if (peer.consecutiveFailures.incrementAndGet() >= FAILURES_BEFORE_RECONNECT && peers.remove(address, peer)) {
            close(peer);
        }
    }

    private static Peer connect(PeerAddress address) {
        return new Peer(Http.client(address.host(), address.port(), Http.Protocol.HTTP_2));
    }

    private static void close(Peer peer) {
        if (peer != null) {
            peer.client.closeAsyncGracefully().subscribe();
        }
    }
}
