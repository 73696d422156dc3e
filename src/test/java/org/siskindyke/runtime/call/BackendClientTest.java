package org.siskindyke.runtime.call;

import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
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

    private static void assertCut(EndlessServer.Kind kind) throws Exception {
        try (EndlessServer server = new EndlessServer(kind);
                BackendClient client = client(server)) {
            BackendClient.Grant grant =
                    new BackendClient.Grant(MemberId.of(InstanceName.of("i"), 1), 0, Long.MAX_VALUE);
            Reply reply = client.send(call(), grant, TIMEOUT_MILLIS)
                    .toFuture()
                    .get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertEquals(Verdict.MAY_HAVE_RUN, reply.verdict(), kind::name);
            assertEquals(Refusal.ANSWER_LOST, reply.refusal(), kind::name);
            assertTrue(server.sentBytes() <= MAX_SENT_BYTES, () -> kind + ": " + server.sentBytes() + " bytes");
        }
    }

    private static BackendClient client(EndlessServer server) {
        return new BackendClient(
                new TargetAnnouncement(
                        SERVICE,
                        TargetName.of("t"),
                        server.address().getHostString(),
                        server.address().getPort(),
                        true,
                        true),
                1);
    }

    private static Call call() {
        return new Call(
                "c1",
                ClientAccount.UNKNOWN,
                SERVICE,
                null,
                null,
                "GET",
                "/a",
                List.of(),
                new byte[0],
                TIMEOUT_MILLIS,
                true,
                SchedulingAttributes.DEFAULT);
    }
}
