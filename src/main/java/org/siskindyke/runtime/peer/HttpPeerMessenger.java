package org.siskindyke.runtime.peer;

import java.time.Duration;
import java.util.function.Consumer;

import io.servicetalk.concurrent.api.Single;
import org.siskindyke.kernel.balance.TargetUsage;
import org.siskindyke.kernel.control.PeerMessenger;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.runtime.ControlThread;
import org.siskindyke.wire.GossipResponse;
import org.siskindyke.wire.LoadRequest;
import org.siskindyke.wire.LoadResponse;
import org.siskindyke.wire.RenewResponse;

/**
 * Sends the kernel's control messages over HTTP/2. Replies are handled on the control thread; failed requests are not
 * reported.
 */
public final class HttpPeerMessenger implements PeerMessenger {
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private final PeerClients peers;
    private final ControlThread control;

    /**
     * Creates the messenger.
     *
     * @param peers sends messages to other routers
     * @param control runs the reply handlers
     */
    public HttpPeerMessenger(PeerClients peers, ControlThread control) {
        this.peers = peers;
        this.control = control;
    }

    @Override
    public void renew(MemberRow to, Renewal renewal, Consumer<RenewalReply> onReply) {
        deliver(
                peers.request(to.address(), PeerPaths.RENEW, WireMapper.toWire(renewal), TIMEOUT)
                        .map(bytes -> WireMapper.fromWire(WireCodec.decode(bytes, new RenewResponse()))),
                onReply);
    }

    @Override
    public void gossip(MemberRow to, Gossip gossip, Consumer<Gossip> onReply) {
        deliver(
                peers.request(to.address(), PeerPaths.GOSSIP, WireMapper.toRequest(gossip), TIMEOUT)
                        .map(bytes -> WireMapper.fromWire(to.id(), WireCodec.decode(bytes, new GossipResponse()))),
                onReply);
    }

    @Override
    public void requestUsage(MemberRow to, ServiceName service, Consumer<TargetUsage> onReply) {
        deliver(
                peers.request(to.address(), PeerPaths.LOAD, new LoadRequest(service.value()), TIMEOUT)
                        .map(bytes -> WireMapper.fromWire(WireCodec.decode(bytes, new LoadResponse()))),
                usage -> usage.ifPresent(onReply));
    }

    @Override
    public void release(MemberRow to, Release release) {
        deliver(peers.request(to.address(), PeerPaths.RELEASE, WireMapper.toWire(release), TIMEOUT), ignored -> {});
    }

    private <T> void deliver(Single<T> reply, Consumer<T> onReply) {
        reply.map(value -> (Runnable) () -> onReply.accept(value))
                .onErrorReturn(failure -> () -> {})
                .subscribe(control::execute);
    }
}
