package org.siskindyke.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import net.jqwik.api.Example;
import org.siskindyke.crowd.CallerCrowd;
import org.siskindyke.crowd.CrowdedProcess;

/**
 * Guards against callers that end a router, or keep it from ever answering again, by what it holds for them. Each crowd
 * is small and meets a process with a third of the memory of a deployed one.
 */
class UntrustedCallersTest {
    private static final int CONNECTIONS = 300;
    private static final int PIPELINING_CONNECTIONS = 40;
    private static final int PIPELINED_REQUESTS = 3_000;
    /** Complete requests before the unfinished one on a connection. */
    private static final int REQUESTS_BEFORE = 3;
    /** With the request line and the fields of an ordinary request, under the limit of 16,384 bytes. */
    private static final int FIELD_BYTES = 16_000;

    private static final int SMALL_CHUNKS = 1_020;
    private static final int LARGE_CHUNK_BYTES = 65_000;
    private static final int LARGE_BODY_BYTES = 1_000_000;
    private static final int PIPELINED_BODY_BYTES = 16_000;
    /** Over six megabytes on each connection, as much as kernels receive by default. */
    private static final int PIPELINED_REQUESTS_WITH_BODIES = 400;
    /** What a caller sends before the next one has its turn, so that all send at the same time. */
    private static final int TURN_BYTES = 65_536;

    private static final String HEAD =
            "POST /p/crowd HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Siskindyke-Request-Id: crowd\r\n";
    private static final String CHUNKED_HEAD = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

    /** The process ended, out of memory, under header sections of legal size with very many short lines. */
    @Example
    void headerSectionsOfManyShortLinesLeaveRoomForOrdinaryCallers() throws Exception {
        assertOutlives(CONNECTIONS, headers("a:\r\n"));
    }

    /** As above, with fields of odd form: without a value, with blanks only, with names of one sign, not ASCII. */
    @Example
    void headerSectionsOfOddLinesLeaveRoomForOrdinaryCallers() throws Exception {
        assertOutlives(CONNECTIONS, headers("!:\r\n~: \t \r\n|:c\r\n`: \u00e9\r\n"));
    }

    /**
     * The process ended, out of memory, under header sections that arrived at the same time: those that gave way to
     * others were kept until all connections were read.
     */
    @Example
    void headerSectionsThatArriveAtTheSameTimeLeaveRoomForOrdinaryCallers() throws Exception {
        try (CrowdedRouter router = new CrowdedRouter()) {
            CrowdedProcess process = router.process();
            try (CallerCrowd crowd = new CallerCrowd(process.callers(), CONNECTIONS, "P")) {
                crowd.send();
                process.awaitAccepted(CONNECTIONS);
                process.freeze();
                crowd.sendNext((HEAD + "a:\r\n".repeat(FIELD_BYTES / 4)).substring(1));
                process.thaw();
                process.assertServes();
            }
            process.assertServesAsBefore();
        }
    }

    /** The process ended, or lived on without answering, under bodies in one-byte chunks that stop short of the end. */
    @Example
    void unfinishedBodiesInOneByteChunksLeaveRoomForOrdinaryCallers() throws Exception {
        assertOutlives(CONNECTIONS, CHUNKED_HEAD + "1\r\nx\r\n".repeat(SMALL_CHUNKS));
    }

    /** The process lived on without answering under bodies in one chunk that stop short of its end. */
    @Example
    void unfinishedBodiesInOneLargeChunkLeaveRoomForOrdinaryCallers() throws Exception {
        assertOutlives(
                CONNECTIONS,
                CHUNKED_HEAD + Integer.toHexString(LARGE_CHUNK_BYTES) + "\r\n" + "x".repeat(LARGE_CHUNK_BYTES - 1));
    }

    /** Guards against responses that are held for callers which read none, and against requests that wait for those. */
    @Example
    void pipelinedRequestsWithUnreadResponsesLeaveRoomForOrdinaryCallers() throws Exception {
        assertOutlives(PIPELINING_CONNECTIONS, (HEAD + "\r\n").repeat(PIPELINED_REQUESTS));
    }

    /** The process ended under bodies that stop amid trailer fields, which the decoder kept though it was refused. */
    @Example
    void unfinishedTrailerSectionsLeaveRoomForOrdinaryCallers() throws Exception {
        assertOutlives(CONNECTIONS, CHUNKED_HEAD + "0\r\n" + "a:\r\n".repeat(FIELD_BYTES / 4));
    }

    private static String headers(String lines) {
        String section = HEAD + lines.repeat(FIELD_BYTES / lines.length());
        return (section + "\r\n").repeat(REQUESTS_BEFORE) + section;
    }

    /** What the kernel has received for a router that reads nothing meanwhile, on connections that it has accepted. */
    @Example
    void bytesThatAFrozenRouterHasNotReadFitIntoItsMemory() throws Exception {
        try (CrowdedRouter router = new CrowdedRouter()) {
            CrowdedProcess process = router.process();
            try (CallerCrowd crowd = new CallerCrowd(process.callers(), CONNECTIONS, "P")) {
                crowd.send();
                process.awaitAccepted(CONNECTIONS);
                process.freeze();
                crowd.sendNext(unfinishedBody(LARGE_BODY_BYTES).substring(1));
                process.assertRoomForUnreadBytes(CONNECTIONS);
                process.thaw();
                process.assertServes();
            }
            process.assertServesAsBefore();
        }
    }

    /** As above, on connections that wait to be accepted. */
    @Example
    void bytesOnConnectionsThatAreNotAcceptedFitIntoItsMemory() throws Exception {
        try (CrowdedRouter router = new CrowdedRouter()) {
            assertRoomForUnreadBytes(router, router.process().callers());
        }
    }

    /** As above, at the port for other routers. */
    @Example
    void bytesOnConnectionsThatAreNotAcceptedAtThePeersPortFitIntoItsMemory() throws Exception {
        try (CrowdedRouter router = new CrowdedRouter()) {
            assertRoomForUnreadBytes(router, router.peers());
        }
    }

    private static void assertRoomForUnreadBytes(CrowdedRouter router, InetSocketAddress address) throws Exception {
        CrowdedProcess process = router.process();
        process.freeze();
        try (CallerCrowd crowd = new CallerCrowd(address, CONNECTIONS, unfinishedBody(LARGE_BODY_BYTES))) {
            crowd.send();
            process.assertRoomForUnreadBytes(CONNECTIONS);
            process.thaw();
            process.assertServes();
        }
        process.assertServesAsBefore();
    }

    /** Requests with bodies behind others that run: the router does not read on, and the kernel receives more. */
    @Example
    void pipelinedRequestsWithBodiesLeaveRoomForOrdinaryCallers() throws Exception {
        String request =
                HEAD + "Content-Length: " + PIPELINED_BODY_BYTES + "\r\n\r\n" + "x".repeat(PIPELINED_BODY_BYTES);
        assertOutlives(PIPELINING_CONNECTIONS, request.repeat(PIPELINED_REQUESTS_WITH_BODIES));
    }

    @Example
    void largeUnfinishedBodiesLeaveRoomForOrdinaryCallers() throws Exception {
        assertOutlives(CONNECTIONS, unfinishedBody(LARGE_BODY_BYTES));
    }

    /** A caller with a long body, beside bodies that have taken the memory for such ones and do not go on. */
    @Example
    void unfinishedBodiesLeaveRoomForAnOrdinaryCallerWithALongOne() throws Exception {
        try (CrowdedRouter router = new CrowdedRouter()) {
            CrowdedProcess process = router.process();
            try (CallerCrowd crowd =
                    new CallerCrowd(process.callers(), PIPELINING_CONNECTIONS, unfinishedBody(LARGE_BODY_BYTES))) {
                crowd.sendInTurns(TURN_BYTES);
                process.assertServesBodyOf(LARGE_BODY_BYTES);
            }
            process.assertServesAsBefore();
        }
    }

    /** Header sections, bodies whole and in one-byte chunks, and unread responses at the same time. */
    @Example
    void aMixedCrowdLeavesRoomForOrdinaryCallers() throws Exception {
        try (CrowdedRouter router = new CrowdedRouter()) {
            CrowdedProcess process = router.process();
            int connections = CONNECTIONS / 3;
            try (CallerCrowd crowd = new CallerCrowd(process.callers(), connections, headers("a:\r\n"))) {
                crowd.add(process.callers(), connections, unfinishedBody(LARGE_BODY_BYTES));
                crowd.add(process.callers(), connections, CHUNKED_HEAD + "1\r\nx\r\n".repeat(SMALL_CHUNKS));
                crowd.add(process.callers(), PIPELINING_CONNECTIONS, (HEAD + "\r\n").repeat(PIPELINED_REQUESTS));
                crowd.sendInTurns(TURN_BYTES);
                process.assertServes();
            }
            process.assertServesAsBefore();
        }
    }

    /** Messages that stop short of the length that they announce, at the port for other routers. */
    @Example
    void unfinishedMessagesAtThePeersPortLeaveRoomForOrdinaryCallers() throws Exception {
        String length = new String(
                ByteBuffer.allocate(Integer.BYTES).putInt(LARGE_BODY_BYTES).array(), StandardCharsets.ISO_8859_1);
        try (CrowdedRouter router = new CrowdedRouter()) {
            CrowdedProcess process = router.process();
            try (CallerCrowd crowd =
                    new CallerCrowd(router.peers(), CONNECTIONS, length + "x".repeat(LARGE_BODY_BYTES - 1))) {
                crowd.sendInTurns(TURN_BYTES);
                process.assertServes();
            }
            process.assertServesAsBefore();
        }
    }

    private static String unfinishedBody(int bytes) {
        return HEAD + "Content-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes - 1);
    }

    private static void assertOutlives(int connections, String sent) throws IOException, InterruptedException {
        try (CrowdedRouter router = new CrowdedRouter()) {
            CrowdedProcess process = router.process();
            try (CallerCrowd crowd = new CallerCrowd(process.callers(), connections, sent)) {
                crowd.sendInTurns(TURN_BYTES);
                process.assertServes();
            }
            process.assertServesAsBefore();
        }
    }
}
