package org.siskindyke.runtime;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.siskindyke.kernel.grant.GrantReply;
import org.siskindyke.kernel.time.MonotonicClock;

/**
 * Defers the reply to a heartbeat until there is something to grant. A backend server sends its next heartbeat only an
 * interval later, so a reply without a grant would leave its slices unserved for that long. Confined to the control
 * thread.
 */
final class DeferredReply {
    /** A heartbeat without a reply counts as lost after a second. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(800);
    /** Part of the heartbeat interval after which the reply is sent in any case, before the next heartbeat. */
    private static final double MAX_SHARE_OF_INTERVAL = 0.8;

    private final MonotonicClock clock;
    private final long maxMillis;
    private Supplier<GrantReply> renewal;
    private Consumer<GrantReply> onReply;
    private long endMillis;

    /**
     * Creates an instance without a heartbeat that waits for its reply.
     *
     * @param clock the clock
     * @param heartbeatInterval interval between heartbeats
     */
    DeferredReply(MonotonicClock clock, Duration heartbeatInterval) {
        this.clock = clock;
        this.maxMillis =
                Math.min(REPLY_TIMEOUT.toMillis(), (long) (heartbeatInterval.toMillis() * MAX_SHARE_OF_INTERVAL));
    }

    /**
     * Replies to a heartbeat once its grant can be renewed, or without a grant if that takes too long. Ends the wait of
     * an earlier heartbeat.
     *
     * @param tryRenew renews the grant; returns {@link GrantReply#NO_RENEWAL} while this is not possible
     * @param replyListener receives the reply
     */
    void await(Supplier<GrantReply> tryRenew, Consumer<GrantReply> replyListener) {
        end(GrantReply.NO_RENEWAL);
        renewal = tryRenew;
        onReply = replyListener;
        endMillis = clock.nowMillis() + maxMillis;
    }

    /** Sends the reply that is deferred, if its grant can be renewed by now or it has waited for too long. */
    void tick() {
        if (renewal == null) {
            return;
        }
        boolean late = clock.nowMillis() >= endMillis;
        // The backend server would not take a grant that comes late, so none must be counted on here.
        GrantReply reply = late ? GrantReply.NO_RENEWAL : renewal.get();
        if (late || reply.renews()) {
            end(reply);
        }
    }

    /** Ends the wait of the present heartbeat, if one waits, with a given reply. */
    void end(GrantReply reply) {
        Consumer<GrantReply> listener = onReply;
        renewal = null;
        onReply = null;
        if (listener != null) {
            listener.accept(reply);
        }
    }
}
