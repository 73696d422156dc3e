package org.siskindyke.runtime.call;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import net.jqwik.api.Example;
import org.siskindyke.RawHttpServer;
import org.siskindyke.kernel.call.Refusal;
import org.siskindyke.kernel.call.SchedulingAttributes;
import org.siskindyke.kernel.call.Verdict;
import org.siskindyke.kernel.id.ClientAccount;
import org.siskindyke.kernel.id.InstanceName;
import org.siskindyke.kernel.id.MemberId;
import org.siskindyke.kernel.id.ServiceName;
import org.siskindyke.kernel.id.TargetName;
import org.siskindyke.kernel.membership.TargetAnnouncement;
import org.siskindyke.runtime.EndlessServer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BackendClientTest {
    private static final ServiceName SERVICE = ServiceName.of("records");
    private static final BackendClient.Grant GRANT =
            new BackendClient.Grant(MemberId.of(InstanceName.of("i"), 1), 0, Long.MAX_VALUE);
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int SERVER_ERROR = 500;
    private static final int CALLS = 20;
    /** More than one connection carries. */
    private static final int MANY_CALLS = 600;

    private static final int CALLERS = 4;

    private static final long TIMEOUT_MILLIS = 10_000;
    /** The limit of a body in chunks of one byte, each with five bytes of framing, and socket buffers. */
    private static final long MAX_SENT_BYTES = 32L * 1024 * 1024;

    /** Guards against bodies without end that are collected until the heap is full. */
    @Example
    void aBodyWithoutEndIsCutAndReportedAsLost() throws Exception {
        assertCut(EndlessServer.Kind.BODY);
        assertCut(EndlessServer.Kind.CHUNKS);
    }

    /** Guards against interim responses without end that keep a call until its deadline. */
    @Example
    void interimResponsesWithoutEndAreCutAndReportedAsLost() throws Exception {
        assertCut(EndlessServer.Kind.INTERIM);
    }

    /** Guards against header sections without end that are collected until the deadline. */
    @Example
    void aHeaderSectionWithoutEndIsCutAndReportedAsLost() throws Exception {
        assertCut(EndlessServer.Kind.HEAD);
    }

    /** Guards against numbers that are no HTTP status and reach callers as one. */
    @Example
    void aResponseWithoutAFinalStatusIsReportedAsLost() throws Exception {
        for (String status : List.of("000", "099", "600", "999")) {
            try (RawHttpServer server = RawHttpServer.ofTexts(() -> id -> "HTTP/1.1 " + status + " Status\r\n"
                            + echo(id) + "siskindyke-not-run: true\r\ncontent-length: 2\r\n\r\nok");
                    BackendClient client = client(server.address())) {
                Reply reply = send(client, "c" + status);
                assertEquals(Verdict.MAY_HAVE_RUN, reply.verdict(), status);
                assertEquals(Refusal.ANSWER_LOST, reply.refusal(), status);
            }
        }
    }

    /** Guards against a connection whose requests and responses stay off by one after a late copy of a response. */
    @Example
    void aResponseThatNamesAnotherCallEndsItsConnection() throws Exception {
        assertAnswersEverySecondCall(() -> new Stutter(id -> response(OK, echo(id))));
        assertAnswersEverySecondCall(() -> new OneBehind(id -> response(OK, echo(id))));
    }

    private static void assertAnswersEverySecondCall(Supplier<RawHttpServer.TextScript> scripts) throws Exception {
        try (RawHttpServer server = RawHttpServer.ofTexts(scripts);
                BackendClient client = client(server.address())) {
            for (int i = 0; i < CALLS; i += 2) {
                assertEquals(OK, statusOf(send(client, "c" + i)), "call " + i);
                assertEquals(Refusal.ANSWER_LOST, send(client, "c" + (i + 1)).refusal(), "call " + (i + 1));
            }
        }
    }

    /** Guards against a call that is sent again and gets a late copy of the response of its first run. */
    @Example
    void aCallThatIsSentAgainIsNotAnsweredWithACopyOfItsFirstResponse() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        try (RawHttpServer server = RawHttpServer.ofTexts(() ->
                        new Stutter(id -> response(runs.getAndIncrement() % 2 == 0 ? OK : SERVER_ERROR, echo(id))));
                BackendClient client = client(server.address())) {
            for (int i = 0; i < CALLS; i++) {
                Reply first = send(client, "c" + i);
                assertTrue(!first.isAnswer() || first.status() == OK, "first run of call " + i);
                assertEquals(SERVER_ERROR, statusOf(send(client, "c" + i)), "second run of call " + i);
            }
        }
    }

    /** Guards against late copies of responses without an id, from a server that names the call in others. */
    @Example
    void aCopyOfAResponseWithoutIdIsNotTakenForThatOfALaterCall() throws Exception {
        try (RawHttpServer server = RawHttpServer.ofTexts(() -> new OneBehind(
                        id -> id.startsWith("unnamed") ? response(SERVER_ERROR, "") : response(OK, echo(id))));
                BackendClient client = client(server.address())) {
            assertEquals(OK, statusOf(send(client, "named")));
            assertEquals(Refusal.ANSWER_LOST, send(client, "lost").refusal());
            for (int i = 0; i < CALLS; i++) {
                assertEquals(SERVER_ERROR, statusOf(send(client, "unnamed" + i)), "call " + i);
            }
            assertEquals(OK, statusOf(send(client, "last")));
        }
    }

    /** Guards against calls that get late copies of responses to renewals of grants, which name no call. */
    @Example
    void aCopyOfAResponseToARenewalIsNotTakenForThatOfACall() throws Exception {
        try (RawHttpServer server = RawHttpServer.ofTexts(() ->
                        new OneBehind(id -> id.equals("none") ? response(NO_CONTENT, "") : response(OK, echo(id))));
                BackendClient client = client(server.address())) {
            for (int i = 0; i < CALLS; i++) {
                client.renewGrant(GRANT).toFuture().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                Reply reply = send(client, "c" + i);
                assertTrue(!reply.isAnswer() || reply.status() == OK, "call " + i + " got the response to a renewal");
            }
        }
    }

    /** Guards against a call that finds only connections that have carried it, and against keeping ids for ever. */
    @Example
    void aCallThatIsSentAgainFindsAWayHoweverManyCallsAConnectionHasCarried() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        try (RawHttpServer server = RawHttpServer.ofTexts(() -> {
                    connections.incrementAndGet();
                    return id -> response(OK, echo(id));
                });
                BackendClient client = client(server.address())) {
            for (int i = 0; i < MANY_CALLS; i++) {
                assertEquals(OK, statusOf(send(client, "c" + i)), "call " + i);
            }
            assertEquals(2, connections.get(), "connections");
            for (int i = 0; i < CALLS; i++) {
                assertEquals(OK, statusOf(send(client, "again")), "run " + i);
            }
            assertEquals(1 + CALLS, connections.get(), "connections");
        }
    }

    /** Guards against calls that are lost with a connection which ends after the calls that it may carry. */
    @Example
    void callsAtATimeAreAllAnsweredWhileConnectionsEnd() throws Exception {
        List<String> unanswered = new CopyOnWriteArrayList<>();
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        try (RawHttpServer server = RawHttpServer.ofTexts(() -> id -> response(OK, echo(id)));
                BackendClient client = client(server.address())) {
            for (int caller = 0; caller < CALLERS; caller++) {
                String prefix = "caller" + caller + "-";
                callers.submit(() -> {
                    for (int i = 0; i < MANY_CALLS; i++) {
                        Reply reply = send(client, prefix + i);
                        if (statusOf(reply) != OK) {
                            unanswered.add(prefix + i + " " + reply.refusal());
                        }
                    }
                    return null;
                });
            }
            callers.shutdown();
            assertTrue(callers.awaitTermination(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "calls take too long");
        }
        assertEquals(List.of(), unanswered);
    }

    /** Guards against answers that are dropped although their server never names calls, as it may. */
    @Example
    void responsesOfAServerThatNeverNamesCallsAreAcceptedOnOneConnection() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        try (RawHttpServer server = RawHttpServer.ofTexts(() -> {
                    connections.incrementAndGet();
                    return id -> response(OK, "");
                });
                BackendClient client = client(server.address())) {
            for (int i = 0; i < CALLS; i++) {
                assertEquals(OK, statusOf(send(client, "c" + i)), "call " + i);
            }
            assertEquals(1, connections.get());
        }
    }

    /** Writes each response once more, late, in front of the next one on its connection. */
    private static final class Stutter implements RawHttpServer.TextScript {
        private final RawHttpServer.TextScript script;
        private String previous = "";

        private Stutter(RawHttpServer.TextScript script) {
            this.script = script;
        }

        @Override
        public String respond(String id) {
            String copy = previous;
            previous = script.respond(id);
            return copy + previous;
        }
    }

    /** Writes the first response twice, and from then on each response only after the next request. */
    private static final class OneBehind implements RawHttpServer.TextScript {
        private final RawHttpServer.TextScript script;
        private String previous;

        private OneBehind(RawHttpServer.TextScript script) {
            this.script = script;
        }

        @Override
        public String respond(String id) {
            String response = script.respond(id);
            String written = previous == null ? response : previous;
            previous = response;
            return written;
        }
    }

    private static String echo(String id) {
        return "siskindyke-call-id: " + id + "\r\n";
    }

    private static String response(int status, String fields) {
        String length = status == NO_CONTENT ? "" : "content-length: 2\r\n";
        return "HTTP/1.1 " + status + " Status\r\n" + fields + length + "\r\n" + (length.isEmpty() ? "" : "ok");
    }

    /** Sends a call with a body. */
    private static Reply send(BackendClient client, String id) throws Exception {
        return send(client, call(id, "PUT", new byte[] {'b'}));
    }

    private static Reply send(BackendClient client, Call call) throws Exception {
        return client.send(call, GRANT, TIMEOUT_MILLIS).toFuture().get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the status of a reply; 0 where it is no answer. */
    private static int statusOf(Reply reply) {
        return reply.isAnswer() ? reply.status() : 0;
    }

    private static void assertCut(EndlessServer.Kind kind) throws Exception {
        try (EndlessServer server = new EndlessServer(kind);
                BackendClient client = client(server.address())) {
            Reply reply = send(client, call("c1", "GET", new byte[0]));
            assertEquals(Verdict.MAY_HAVE_RUN, reply.verdict(), kind::name);
            assertEquals(Refusal.ANSWER_LOST, reply.refusal(), kind::name);
            assertTrue(server.sentBytes() <= MAX_SENT_BYTES, () -> kind + ": " + server.sentBytes() + " bytes");
        }
    }

    private static BackendClient client(InetSocketAddress address) {
        return new BackendClient(
                new TargetAnnouncement(
                        SERVICE, TargetName.of("t"), address.getHostString(), address.getPort(), true, true),
                1);
    }

    private static Call call(String id, String method, byte[] body) {
        return new Call(
                id,
                ClientAccount.UNKNOWN,
                SERVICE,
                null,
                null,
                method,
                "/a",
                List.of(),
                body,
                TIMEOUT_MILLIS,
                true,
                SchedulingAttributes.DEFAULT);
    }
}
