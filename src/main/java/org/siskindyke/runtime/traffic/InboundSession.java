package org.siskindyke.runtime.traffic;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.channel.Channel;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.link.LinkAnswer;
import org.siskindyke.kernel.link.LinkQuestion;
import org.siskindyke.kernel.link.ReceivedCalls;
import org.siskindyke.runtime.call.Reply;

/**
 * The requests of another router, on its connection to this one and on those that replace it. What has arrived is
 * recorded by request in {@link ReceivedCalls}. Confined to the traffic loop.
 */
final class InboundSession {
    /** How long a reply is kept in case the connection on which it was sent has fallen silent. */
    private static final long KEEP_REPLY_MILLIS = 2_000;
    /** Bytes of replies that are kept; the oldest are dropped beyond that. */
    private static final int MAX_KEPT_BYTES = 128 * 1024;
    /** Replies from this length on are counted until they are sent. */
    private static final int COUNTED_BYTES = 16 * 1024;
    /** Bytes that wait on a connection from which on its other end is taken for one that does not read. */
    private static final long STALLED_BYTES = 1 << 20;

    private final ReceivedCalls received = new ReceivedCalls();
    private final Map<Long, Cancellable> running = new HashMap<>();
    private final Deque<SentReply> sentReplies = new ArrayDeque<>();
    private final CallerMemory memory;
    private int keptBytes;
    private Channel channel;
    private long endedMillis;

    private record SentReply(PeerFrame frame, long sentMillis) {}

    /** Creates a session on a connection, null for none yet; counts replies that wait for the other router. */
    InboundSession(Channel channel, CallerMemory memory) {
        this.channel = channel;
        this.memory = memory;
    }

    /** Returns whether requests on a connection are processed: those on a replaced one are not. */
    boolean isOn(Channel candidate) {
        return channel == candidate;
    }

    /**
     * Continues on another connection; no request on the previous one is processed from now on.
     *
     * @return the answer to the question on the connection; empty if a later connection was opened before
     */
    Optional<LinkAnswer> continueOn(Channel replacement, LinkQuestion question) {
        Optional<LinkAnswer> answer = received.open(question);
        if (answer.isPresent()) {
            Channel previous = channel;
            channel = replacement;
            endedMillis = 0;
            if (previous != null && previous != replacement) {
                previous.close();
            }
        }
        return answer;
    }

    /** Records that a request has arrived, and returns whether it had not arrived before. */
    boolean receive(long id) {
        return received.receive(id);
    }

    /** Records that a call runs. */
    void onRunning(long id, Cancellable work) {
        running.put(id, work);
    }

    boolean isRunning(long id) {
        return running.containsKey(id);
    }

    void cancel(long id) {
        Cancellable work = running.remove(id);
        if (work != null) {
            work.cancel();
        }
    }

    /** Cancels the calls that run but that the other router no longer waits for. */
    void cancelAllExcept(Collection<Long> pending) {
        Set<Long> abandoned = new HashSet<>(running.keySet());
        abandoned.removeAll(new HashSet<>(pending));
        abandoned.forEach(this::cancel);
    }

    void withdraw(long id) {
        Cancellable work = running.get(id);
        if (work != null) {
            work.withdraw();
        }
    }

    /**
     * Sends the reply to a call, and keeps it for a while. In place of a long one for which there is no memory, as the
     * other router does not read, it says that the answer is lost.
     */
    void reply(PeerFrame frame, long nowMillis) {
        running.remove(frame.id());
        if (frame.payload().length < COUNTED_BYTES) {
            keep(frame, nowMillis);
            send(frame);
            return;
        }
        CallerMemory.Share share = memory.open();
        PeerFrame reply = reserve(share, frame.payload().length)
                ? frame
                : ForwardFrames.reply(frame.id(), null, Reply.mayHaveRun(Refusal.ANSWER_LOST));
        keep(reply, nowMillis);
        channel.writeAndFlush(reply).addListener(sent -> share.end());
    }

    private void keep(PeerFrame reply, long nowMillis) {
        sentReplies.addLast(new SentReply(reply, nowMillis));
        keptBytes += reply.payload().length;
        dropOldReplies(nowMillis);
    }

    private boolean reserve(CallerMemory.Share share, int bytes) {
        var waiting = channel.unsafe().outboundBuffer();
        if (waiting != null && waiting.totalPendingWriteBytes() >= STALLED_BYTES) {
            return share.resize(bytes);
        }
        share.force(bytes);
        return true;
    }

    void send(PeerFrame frame) {
        channel.writeAndFlush(frame, channel.voidPromise());
    }

    /** Sends the reply to a call again, and returns whether it was kept. */
    boolean replyAgain(long id) {
        for (SentReply reply : sentReplies) {
            if (reply.frame().id() == id) {
                send(reply.frame());
                return true;
            }
        }
        return false;
    }

    /** Drops replies that were sent long ago or are too many. */
    void dropOldReplies(long nowMillis) {
        while (!sentReplies.isEmpty()
                && (keptBytes > MAX_KEPT_BYTES
                        || nowMillis - sentReplies.peekFirst().sentMillis() > KEEP_REPLY_MILLIS)) {
            keptBytes -= sentReplies.pollFirst().frame().payload().length;
        }
    }

    /** Cancels the calls that run, since nobody waits for their replies any more. */
    void end(long nowMillis) {
        endedMillis = nowMillis;
        Map<Long, Cancellable> abandoned = new HashMap<>(running);
        running.clear();
        sentReplies.clear();
        keptBytes = 0;
        abandoned.values().forEach(Cancellable::cancel);
    }

    /** Returns whether the session ended before a time. */
    boolean endedBefore(long millis) {
        return endedMillis != 0 && endedMillis < millis;
    }
}
