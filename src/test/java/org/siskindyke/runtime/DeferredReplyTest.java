package org.siskindyke.runtime;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import org.siskindyke.kernel.grant.GrantReply;

import static org.junit.jupiter.api.Assertions.assertEquals;

class DeferredReplyTest {
    private static final Duration HEARTBEAT = Duration.ofMillis(500);
    /** Before the next heartbeat is due. */
    private static final long LATEST_MILLIS = 400;

    private static final GrantReply GRANT = new GrantReply(true, List.of(), 2_000);

    private final List<GrantReply> replies = new ArrayList<>();
    private long nowMillis;
    private GrantReply renewal = GrantReply.NO_RENEWAL;
    private final DeferredReply deferred = new DeferredReply(() -> nowMillis, HEARTBEAT);

    /** Guards against slices that are unserved for a heartbeat interval, since a heartbeat came before the join. */
    @Example
    void aReplyIsSentAsSoonAsTheGrantCanBeRenewed() {
        deferred.await(() -> renewal, replies::add);
        deferred.tick();
        assertEquals(List.of(), replies);
        renewal = GRANT;
        deferred.tick();
        assertEquals(List.of(GRANT), replies);
        deferred.tick();
        assertEquals(List.of(GRANT), replies);
    }

    /** Guards against heartbeats that count as lost while the router can't join. */
    @Example
    void aReplyWithoutAGrantIsSentBeforeTheNextHeartbeat() {
        deferred.await(() -> renewal, replies::add);
        nowMillis = LATEST_MILLIS - 1;
        deferred.tick();
        assertEquals(List.of(), replies);
        nowMillis = LATEST_MILLIS;
        deferred.tick();
        assertEquals(List.of(GrantReply.NO_RENEWAL), replies);
    }

    /** Guards against calls at a backend server that has not taken its grant, since the reply came too late. */
    @Example
    void aReplyThatIsLateHasNoGrant() {
        deferred.await(() -> renewal, replies::add);
        renewal = GRANT;
        nowMillis = LATEST_MILLIS;
        deferred.tick();
        assertEquals(List.of(GrantReply.NO_RENEWAL), replies);
    }

    /** Guards against a reply to an outdated heartbeat that lists slices. */
    @Example
    void aHeartbeatThatFollowsEndsTheWaitOfTheOneBefore() {
        deferred.await(() -> GRANT, replies::add);
        deferred.await(() -> renewal, replies::add);
        assertEquals(List.of(GrantReply.NO_RENEWAL), replies);
    }
}
