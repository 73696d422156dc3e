package org.siskindyke.runtime.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.channel.Channel;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.time.MonotonicClock;
import org.siskindyke.runtime.call.Reply;
import org.siskindyke.runtime.peer.WireCodec;
import org.siskindyke.wire.LinkState;

/**
 * The sessions of other routers with this one, by the names that their openers gave to the connections. A connection
 * that replaces another continues its session. Confined to the traffic loop.
 */
final class InboundSessions {
    /** How long a session is remembered after its end, so that what it has received can still be said. */
    static final long REMEMBER_MILLIS = 60_000;
    /** How long calls run on after their connection has ended, as another one may replace it. */
    private static final long REPLACEMENT_GRACE_MILLIS = 300;

    private final TrafficLoop traffic;
    private final MonotonicClock clock;
    private final long process = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
    private final Map<Long, InboundSession> sessions = new HashMap<>();

    InboundSessions(TrafficLoop traffic, MonotonicClock clock) {
        this.traffic = traffic;
        this.clock = clock;
    }

    /**
     * Opens the session of a connection, or continues the one that the connection replaces: says what was received,
     * sends replies again that may have been lost, and cancels the calls that the opener no longer waits for.
     *
     * @param ask what the opener has sent with its first ping
     * @param channel the connection
     * @return the session
     */
    InboundSession open(LinkState ask, Channel channel) {
        LinkState answer = new LinkState(ask.getSession());
        answer.setProcess(process);
        InboundSession replaced = ask.isSetSettledSession() ? sessions.get(ask.getSettledSession()) : null;
        InboundSession session = replaced == null ? new InboundSession(channel) : replaced;
        long receivedUpTo = session.receivedUpTo();
        if (ask.isSetSettledSession()) {
            answer.setSettledSession(ask.getSettledSession());
            answer.setKnown(replaced != null);
            answer.setReceivedUpTo(receivedUpTo);
            // Its first ping may still arrive; nothing on that connection is processed then.
            sessions.put(ask.getSettledSession(), session);
            session.moveTo(channel);
        }
        boolean isSettled = sessions.putIfAbsent(ask.getSession(), session) != null;
        if (isSettled) {
            channel.close();
        }
        session.send(new PeerFrame(PeerFrame.Kind.PONG, 0, WireCodec.encode(answer)));
        if (ask.isSetPending()) {
            // A cancellation that was sent on the replaced connection may not have arrived.
            session.cancelAllExcept(ask.getPending());
            ask.getPending().stream().filter(id -> id <= receivedUpTo).forEach(id -> replyAgain(session, id));
        }
        return isSettled ? new InboundSession(null) : session;
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
