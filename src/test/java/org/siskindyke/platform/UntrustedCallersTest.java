package org.siskindyke.platform;

import java.io.IOException;

import net.jqwik.api.Example;

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

    private static void assertOutlives(int connections, String sent) throws IOException, InterruptedException {
        try (CrowdedRouter router = new CrowdedRouter()) {
            try (CallerCrowd crowd = new CallerCrowd(router.callers(), connections, sent)) {
                router.assertServes();
            }
            router.assertServesAsBefore();
        }
    }
}
