package org.siskindyke.runtime.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.netty.channel.Channel;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.link.LinkAnswer;
import org.siskindyke.kernel.link.LinkQuestion;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.EventLog;
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.runtime.peer.WireCodec;
import org.siskindyke.wire.LinkState;

/**
 * The sessions of other routers with this one, by the names that they gave to their links. A connection that replaces
 * another continues its session. Confined to the traffic loop.
 */
final class InboundSessions {
    /** How long a session is remembered after its end, so that what it has received can still be said. */
    private static final long REMEMBER_MILLIS = 60_000;
    /** How long calls run on after their connection has ended, as another one may replace it. */
    private static final long REPLACEMENT_GRACE_MILLIS = 300;

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final EventLog log;
    private final Map<Long, InboundSession> sessions = new HashMap<>();

    InboundSessions(TrafficLoop traffic, MonotonicClock clock, EventLog log) {
        this.traffic = traffic;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Opens the session of a link on its first connection, or continues it on a later one: says which calls have
     * arrived, sends replies again that may have been lost, and cancels the calls that the opener no longer waits for.
     *
     * @param ask what the opener has sent with its first ping
     * @param channel the connection
     * @return the session; one that is not on the connection if a later connection was opened before
     */
    InboundSession open(LinkState ask, Channel channel) {
        if (!ask.isSetLink()) {
            // A router of an earlier version takes this answer for one that settles nothing.
            InboundSession session = new InboundSession(channel, traffic.callerMemory());
            session.send(new PeerFrame(PeerFrame.Kind.PONG, 0, WireCodec.encode(new LinkState(ask.getSession()))));
            return session;
        }
        InboundSession session =
                sessions.computeIfAbsent(ask.getLink(), link -> new InboundSession(null, traffic.callerMemory()));
        Optional<LinkAnswer> answer =
                session.continueOn(channel, new LinkQuestion(ask.getConnection(), ask.getPending()));
        if (answer.isEmpty()) {
            log.event("link-connection-superseded", "peer", channel.remoteAddress(), "connection", ask.getConnection());
            channel.close();
            return new InboundSession(null, traffic.callerMemory());
        }
        session.send(new PeerFrame(PeerFrame.Kind.PONG, 0, WireCodec.encode(toWire(ask, answer.get()))));
        // A cancellation that was sent on an earlier connection may not have arrived.
        session.cancelAllExcept(ask.getPending());
        answer.get().received().forEach(id -> replyAgain(session, id));
        return session;
    }

    private static LinkState toWire(LinkState ask, LinkAnswer answer) {
        LinkState state = new LinkState(ask.getSession());
        state.setLink(ask.getLink());
        state.setConnection(answer.connection());
        state.setFirstConnection(answer.firstConnection());
        state.setReceived(answer.received());
        return state;
    }

    private static void replyAgain(InboundSession session, long id) {
        if (!session.isRunning(id) && !session.replyAgain(id)) {
            session.send(ForwardFrames.reply(id, null, Reply.mayHaveRun(Refusal.ANSWER_LOST)));
        }
    }

    /** Ends a session soon, unless another connection replaces the one that has ended. */
    void onConnectionEnded(InboundSession session, Channel ended) {
        traffic.schedule(
                () -> {
                    if (session.isOn(ended)) {
                        session.end(clock.nowMillis());
                    }
                },
                REPLACEMENT_GRACE_MILLIS);
    }

    /** Drops replies that nobody will ask for again, and sessions that ended long ago. */
    void tick(long nowMillis) {
        sessions.values().forEach(session -> session.dropOldReplies(nowMillis));
        sessions.values().removeIf(session -> session.endedBefore(nowMillis - REMEMBER_MILLIS));
    }
}
