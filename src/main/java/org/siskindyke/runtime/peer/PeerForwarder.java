package org.siskindyke.runtime.peer;

import java.time.Duration;
import java.util.concurrent.TimeoutException;

import io.servicetalk.concurrent.api.Single;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.membership.MemberRow;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Call;
import org.siskindyke.runtime.call.CallRouter;
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.runtime.http.Http;
import org.siskindyke.wire.ForwardResponse;

/** Forwards calls to the routers of other members, over the peer connections. */
public final class PeerForwarder implements CallRouter.Forwarder {
    private static final long UNREACHABLE_RETRY_MILLIS = 1_000;

    private final PeerClients peers;
    private final MonotonicClock clock;

    /**
     * Creates a forwarder.
     *
     * @param peers sends messages to other routers
     * @param clock the clock
     */
    public PeerForwarder(PeerClients peers, MonotonicClock clock) {
        this.peers = peers;
        this.clock = clock;
    }

    @Override
    public Single<Reply> forward(Call call, MemberRow to) {
        long nowMillis = clock.nowMillis();
        Duration timeout = Duration.ofMillis(Math.max(1, call.remainingMillis(nowMillis)));
        return peers.request(to.address(), PeerPaths.FORWARD, WireMapper.toWire(call, to.id(), 1, nowMillis), timeout)
                .map(bytes -> toReply(call, WireCodec.decode(bytes, new ForwardResponse())))
                .onErrorReturn(PeerForwarder::toReply);
    }

    private static Reply toReply(Call call, ForwardResponse response) {
        if (!call.id().equals(response.getCallId())) {
            return Reply.mayHaveRun(Refusal.ANSWER_LOST);
        }
        return WireMapper.fromWire(response);
    }

    private static Reply toReply(Throwable failure) {
        if (Http.isNotSent(failure)) {
            return Reply.notRun(Refusal.OWNER_UNREACHABLE, UNREACHABLE_RETRY_MILLIS);
        }
        return Reply.mayHaveRun(failure instanceof TimeoutException ? Refusal.DEADLINE : Refusal.ANSWER_LOST);
    }
}
